package baobabproof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
	release "github.com/baobabdale/baobabdale/baobabrelease"
)

const (
	withdrawalLimit    = 4 * time.Second
	withdrawalSettings = "[accounts]\nwithdrawal_limit = 4s\n"
	lookupPath         = "/availability"
)

// A keyTest withdraws keys of a mesh and checks that no request with such a key runs after the limit.
type keyTest struct {
	t         *testing.T
	m         *baobabemulator.Mesh
	editor    *baobabemulator.ConfigurationEditor
	caller    *baobabemulator.Caller
	withdrawn map[string]time.Time // When the store had acknowledged the withdrawal, by key.
}

// newKeyTest starts a mesh whose nodes all have an account with the keys in force.
func newKeyTest(t *testing.T, keys ...string) *keyTest {
	t.Helper()
	m := startMesh(t, "booking", baobabemulator.WithMeshNodeSettings(withdrawalSettings), baobabemulator.WithMeshEmbeddedUpstreams())
	k := &keyTest{t: t, m: m, caller: baobabemulator.NewCaller(t.Name()), withdrawn: map[string]time.Time{}}
	var err error
	if k.editor, err = m.NewConfigurationEditor(m.NodesInDomain(1)...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		k.editor.Close()
		k.caller.Close()
		k.check()
	})
	ctx := testContext(t)
	if err := m.WaitInForce(ctx, k.setKeys(ctx, keys...).Number); err != nil {
		t.Fatal(err)
	}
	return k
}

// check fails the test for each request that ran although it was sent later than the limit after its key was withdrawn.
func (k *keyTest) check() {
	k.t.Helper()
	runs, err := k.m.Runs()
	if err != nil {
		k.t.Fatal(err)
	}
	accounts := map[string]string{}
	for _, r := range runs {
		accounts[r.CallID] = r.Account
	}
	for _, r := range k.caller.Records() {
		at, withdrawn := k.withdrawn[r.Request.AccountKey]
		account, ran := accounts[r.CallID]
		if late := r.Start.Sub(at) - withdrawalLimit; ran && withdrawn && late > 0 {
			k.t.Errorf("request %s ran, sent %v after the limit for its key %s", r.Content, late, r.Request.AccountKey)
		}
		if ran && r.Request.AccountKey != "" && account != "club" {
			k.t.Errorf("request %s ran for account %q", r.Content, account)
		}
	}
	checkHistories(k.t, k.m, k.caller.Records())
}

// setKeys makes the keys those of the account and returns once the store has acknowledged it.
func (k *keyTest) setKeys(ctx context.Context, keys ...string) baobaboperator.Version {
	k.t.Helper()
	if err := k.editor.SetAccount(ctx, "club", keys...); err != nil {
		k.t.Fatal(err)
	}
	v, err := k.editor.Accept(ctx)
	if err != nil {
		k.t.Fatal(err)
	}
	return v
}

func (k *keyTest) send(ctx context.Context, n *baobabemulator.MeshNode, key string) baobabemulator.CallerRecord {
	return k.caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{
		Method: http.MethodGet, Path: lookupPath, AccountKey: key, Header: map[string]string{"Baobab-Account": "forged"},
	})
}

// waitResult sends requests with a key through a node until one is refused for a reason, or answered if it is empty.
func (k *keyTest) waitResult(ctx context.Context, n *baobabemulator.MeshNode, key, refusal string) {
	k.t.Helper()
	waitUntil(ctx, k.t, "result "+refusal+" of key "+key+" through "+n.ID(), func() bool {
		r := k.send(ctx, n, key)
		return r.Err == nil && r.Refusal == refusal && (refusal != "" || r.Answered())
	})
}

// TestWithdrawnKey guards against requests with a withdrawn key that run on a node that is cut off, that restarts there
// without the store, or that was paused.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	const cutDomain = 3
	k := newKeyTest(t, "kept", "first", "second")
	ctx := testContext(t)
	cut, near := k.m.NodesInDomain(cutDomain), k.m.NodesInDomain(1)
	for _, n := range k.m.Nodes() {
		k.waitResult(ctx, n, "first", "")
		k.waitResult(ctx, n, "unknown", "unauthorized")
		k.waitResult(ctx, n, "", "unauthorized")
	}
	f := newFaultInjector(t, k.m)
	f.cutDomain(cutDomain)
	k.setKeys(ctx, "kept", "second")
	k.withdrawn["first"] = time.Now()
	cut[0].NodeProcess().Kill()
	if err := cut[0].NodeProcess().Start(); err != nil {
		t.Fatal(err)
	}
	k.waitResult(ctx, near[0], "first", "unauthorized")
	k.waitResult(ctx, cut[1], "first", "proof_expired")
	k.waitResult(ctx, cut[1], "kept", "proof_expired")
	k.send(ctx, cut[0], "first")
	k.waitResult(ctx, near[0], "kept", "")
	f.heal(ctx)
	for _, n := range cut {
		k.waitResult(ctx, n, "kept", "")
		k.waitResult(ctx, n, "first", "unauthorized")
	}
	ctx = testContext(t)
	paused := near[1]
	paused.NodeProcess().Pause()
	k.setKeys(ctx, "kept")
	k.withdrawn["second"] = time.Now()
	time.Sleep(withdrawalLimit + time.Second) // The pause itself, not a wait for a condition.
	paused.NodeProcess().Resume()
	k.send(ctx, paused, "second")
	k.waitResult(ctx, paused, "second", "unauthorized")
	k.waitResult(ctx, paused, "kept", "")
}

// TestDeletedLastAccount guards against requests that run, with the key or without any, after the last account was deleted: on
// nodes that get the version and on one that starts with it.
func TestDeletedLastAccount(t *testing.T) {
	t.Parallel()
	k := newKeyTest(t, "first")
	ctx := testContext(t)
	nodes := k.m.Nodes()
	for _, n := range nodes {
		k.waitResult(ctx, n, "first", "")
	}
	if err := k.editor.Delete(ctx, baobaboperator.KindAccount, "club"); err != nil {
		t.Fatal(err)
	}
	if _, err := k.editor.Accept(ctx); err != nil {
		t.Fatal(err)
	}
	k.withdrawn["first"] = time.Now()
	nodes[0].NodeProcess().Kill()
	if err := nodes[0].NodeProcess().Start(); err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		for _, key := range []string{"first", "unknown", ""} {
			k.waitResult(ctx, n, key, "unauthorized")
		}
	}
}

// TestWithdrawnKeyStaleReads guards against requests with a withdrawn key while the store serves stale reads and no node
// announces the version: only a conditional transaction shows it.
func TestWithdrawnKeyStaleReads(t *testing.T) {
	t.Parallel()
	k := newKeyTest(t, "kept", "first")
	ctx := testContext(t)
	for _, n := range k.m.Nodes() {
		k.waitResult(ctx, n, "first", "")
	}
	if err := k.editor.SetAccount(ctx, "club", "kept"); err != nil {
		t.Fatal(err)
	}
	if err := k.m.SetPlatformFaults(ctx, `{"stale_reads": true}`); err != nil {
		t.Fatal(err)
	}
	store, err := k.m.PlatformStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if _, err := release.NewRepository(store).Accept(ctx, time.Now(), baobaboperator.NewOperationID(), [32]byte{}); err != nil {
		t.Fatal(err)
	}
	k.withdrawn["first"] = time.Now()
	for _, n := range k.m.Nodes() {
		waitUntil(ctx, t, "a refusal through "+n.ID(), func() bool {
			r := k.send(ctx, n, "first")
			return r.Refusal == "unauthorized" || r.Refusal == "proof_expired"
		})
	}
	if err := k.m.SetPlatformFaults(ctx, `{"stale_reads": false}`); err != nil {
		t.Fatal(err)
	}
	for _, n := range k.m.Nodes() {
		k.waitResult(ctx, n, "kept", "")
	}
}
