package baobabproof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// startVersion replaces the upstream of a node by one that states a version.
func startVersion(t *testing.T, n *baobabemulator.MeshNode, version string, failPercent float64) {
	t.Helper()
	n.EmbeddedUpstream().Close()
	host, _, _ := strings.Cut(n.OperatorAddress(), ":")
	b := baobabemulator.DefaultUpstreamBehaviour()
	b.ServiceMs, b.FailPercent = 10, failPercent
	u := baobabemulator.NewUpstream(n.UpstreamID()+"-"+version, n.Service(), baobabemulator.WithUpstreamBehaviour(b),
		baobabemulator.WithUpstreamAddress(strings.TrimPrefix(n.UpstreamURL(), "http://")),
		baobabemulator.WithUpstreamNode("http://"+host+":7400"), baobabemulator.WithUpstreamLabels(map[string]string{"version": version}))
	if err := u.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
}

// TestRollout guards against a roll-out of nodes as they run that does not end as the evidence says, and against answers of a
// version that was not ordered or is rolled back.
func TestRollout(t *testing.T) {
	for _, c := range []struct {
		name        string
		failPercent float64
		state       string
	}{{"good", 0, "completed"}, {"bad", 45, "rolled_back"}} {
		t.Run(c.name, func(t *testing.T) {
			spec := baobabemulator.NewMeshSpec(2, []baobabemulator.MeshService{
				baobabemulator.NewMeshService("availability", 8, 6, 130, 4*time.Millisecond),
				baobabemulator.NewMeshService("deposits", 1, 6, 130, 4*time.Millisecond),
				baobabemulator.NewMeshService("session-records", 1, 6, 130, 4*time.Millisecond),
			}, baobabemulator.WithMeshProxies(), baobabemulator.WithMeshSeed(newSeed(t)), baobabemulator.WithMeshEmbeddedUpstreams(),
				baobabemulator.WithMeshNodeSettings("[rollouts]\nenabled = yes\n"))
			m := startUnconfiguredMesh(t, spec)
			applyAndWaitServing(t, m)
			nodes := m.NodesOfService("availability")
			for _, n := range nodes[:4] {
				startVersion(t, n, "v1", 0)
			}
			for _, n := range nodes[4:] {
				n.EmbeddedUpstream().Close()
			}
			checkRollout(t, m, c.state, func() {
				for _, n := range nodes[4:] {
					startVersion(t, n, "v2", c.failPercent)
				}
			})
		})
	}
}

// checkRollout orders version v2 under load, starts its upstreams and waits for the state.
func checkRollout(t *testing.T, m *baobabemulator.Mesh, state string, startTarget func()) {
	t.Helper()
	ctx := testContext(t)
	caller := baobabemulator.NewCaller("rollout")
	defer caller.Close()
	var mu sync.Mutex
	phase, byVersion := "before", map[string]int{}
	send := func(ctx context.Context, serial int64) {
		n := m.Nodes()[int(serial)%len(m.Nodes())]
		mu.Lock()
		at := phase
		mu.Unlock()
		r := caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/availability"})
		mu.Lock()
		defer mu.Unlock()
		version := r.Answer.UpstreamID[max(0, len(r.Answer.UpstreamID)-2):]
		if at == phase {
			byVersion[at+" "+version]++
		}
	}
	setPhase := func(p string) {
		mu.Lock()
		defer mu.Unlock()
		phase = p
	}
	store, err := m.PlatformStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	for _, n := range m.Nodes() {
		waitUntil(ctx, t, "version in use at "+n.ID(), func() bool { return countLogLines(t, n, "version in use", "version=v1") > 0 })
	}
	load := baobabemulator.StartLoad(ctx, 12, 10*time.Millisecond, send)
	tx := platform.NewTransaction().Put("rollout-order/availability", []byte(`{"target":"v2","duration_ms":10000}`)).Build()
	if _, err := store.Commit(ctx, tx); err != nil {
		t.Fatal(err)
	}
	setPhase("during")
	startTarget()
	var row struct {
		State, Reason string
		ElapsedMs     int64 `json:"elapsed_ms"`
	}
	waitUntil(ctx, t, "state "+state, func() bool {
		r, ok, err := store.Get(ctx, "rollout/availability")
		if err != nil || !ok {
			return false
		}
		if err := json.Unmarshal(r.Value(), &row); err != nil {
			t.Fatal(err)
		}
		if row.State == "completed" || row.State == "rolled_back" {
			return true
		}
		return false
	})
	setPhase("after")
	before := load.Sent()
	waitUntil(ctx, t, "100 more requests", func() bool { return load.Sent() > before+100 })
	load.Stop()
	mu.Lock()
	defer mu.Unlock()
	summary := fmt.Sprintf("state %s after %d ms (%s), answers %v", row.State, row.ElapsedMs, row.Reason, byVersion)
	t.Log(summary)
	wrong := "v2"
	if state == "completed" {
		wrong = "v1"
	}
	if row.State != state || byVersion["after "+wrong] > 0 || byVersion["before v2"] > 0 {
		t.Error(summary)
	}
}
