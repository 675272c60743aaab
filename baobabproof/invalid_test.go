package baobabproof

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// TestInvalidVersionIsRejectedWhole guards against a version that is applied in part or that replaces a good one. Each
// case brings a version to the nodes that no operator could have accepted; the version in force goes on serving, the
// rejection is visible where the nodes can tell which version it was, and the next good version goes into force.
func TestInvalidVersionIsRejectedWhole(t *testing.T) {
	v := startVersions(t)
	ctx := timeout(t)
	route, number := v.accept(ctx)
	path := baobabemulator.RoutePathPrefix(route)
	v.converge(ctx, "first version", number)
	v.comesToServe(ctx, path, v.Nodes(), v.Nodes())
	base := v.current(ctx)
	// The bad snapshot has a route to a service that does not exist, besides a good route and without an old one.
	bad := v.changedSnapshot(base, "absent-service")
	good := v.changedSnapshot(base, "deposits")
	encoded := encode(t, good)
	baseDelta := delta(t, base, bad)
	tests := []struct {
		name    string
		visible bool // Whether nodes report the rejection.
		bring   func(next uint64)
	}{
		{"object with another content than its digest", true, func(n uint64) { v.putHead(ctx, n, bad, encoded) }},
		{"truncated object", true, func(n uint64) { v.putHead(ctx, n, good, encoded[:len(encoded)/2]) }},
		{"snapshot that fails validation", true, func(n uint64) {
			v.putHead(ctx, n, v.changedSnapshot(base, "another-absent-service"), nil)
		}},
		{"delta on another base", false, func(n uint64) {
			// It only adds a resource, so it could be applied to any base.
			other := configuration.NewSnapshot(n-1, base.Document())
			v.broadcast(ctx, n, delta(t, other, configuration.NewSnapshot(n, v.withRoute(base, "deposits", "").Document())))
		}},
		{"delta that fails validation", true, func(n uint64) {
			now := v.current(ctx)
			v.broadcast(ctx, n, delta(t, now, v.changedSnapshot(now, "absent-service")))
		}},
		{"truncated delta", false, func(n uint64) { v.broadcast(ctx, n, baseDelta[:len(baseDelta)/2]) }},
	}
	for _, tt := range tests {
		before := v.observer.LastView(v.Nodes()[0]).Version
		next := before.Number + 1
		tt.bring(next)
		if tt.visible {
			v.rejected(ctx, tt.name, next)
		}
		for _, n := range v.Nodes() {
			if got := v.observer.LastView(n).Version; got != before {
				t.Errorf("%s: %s has version %v, want %v", tt.name, n.ID(), got, before)
			}
		}
		v.serves(ctx, path, v.Nodes()...)
		_, number := v.accept(ctx)
		v.converge(ctx, "good version after "+tt.name, number)
		v.rejected(ctx, tt.name, 0)
	}
	v.keepsRoutes(ctx)
}

// TestRestartAfterWrongNumber guards against a node that never serves again because a peer has heard of a version
// that does not exist.
func TestRestartAfterWrongNumber(t *testing.T) {
	v := startVersions(t)
	ctx := timeout(t)
	_, number := v.accept(ctx)
	v.converge(ctx, "first version", number)
	base := v.current(ctx)
	far := configuration.NewSnapshot(number+100, base.Document())
	v.broadcast(ctx, number+101, delta(t, far, configuration.NewSnapshot(number+101, v.changedSnapshot(base, "deposits").Document())))
	node := v.Nodes()[0]
	kill(node)
	v.start(node)
	v.converge(ctx, "restarted", number, node)
}

// current returns the version at the head.
func (v *versions) current(ctx context.Context) *configuration.Snapshot {
	v.t.Helper()
	book := release.NewRepository(v.store())
	head, err := book.Head(ctx)
	if err != nil {
		v.t.Fatal(err)
	}
	s, err := book.Load(ctx, head)
	if err != nil {
		v.t.Fatal(err)
	}
	return s
}

// changedSnapshot returns the version after base with one route more, to a service, and the first route removed.
func (v *versions) changedSnapshot(base *configuration.Snapshot, service string) *configuration.Snapshot {
	v.t.Helper()
	return v.withRoute(base, service, base.Document().Routes()[0].Name())
}

// withRoute returns the version after base with one route more, to a service, and without the removed route.
func (v *versions) withRoute(base *configuration.Snapshot, service, removed string) *configuration.Snapshot {
	v.t.Helper()
	text := `{"path_prefix": "/added/` + service + `", "service": "` + service + `", "rank": "normal", "timeout": "1s"}`
	route, err := configuration.ParseResource(configuration.KindRoute, "added-"+service, []byte(text))
	if err != nil {
		v.t.Fatal(err)
	}
	list := []configuration.Resource{route}
	for _, r := range base.Document().Resources() {
		if r.Kind() != configuration.KindRoute || r.Name() != removed {
			list = append(list, r)
		}
	}
	d, err := configuration.NewDocument(list)
	if err != nil {
		v.t.Fatal(err)
	}
	return configuration.NewSnapshot(base.Version().Number()+1, d)
}

// putHead writes a version to the platform as an accept does, without any check. Without data it stores the snapshot.
func (v *versions) putHead(ctx context.Context, number uint64, s *configuration.Snapshot, data []byte) {
	v.t.Helper()
	store := v.store()
	digest := s.Version().Digest()
	if data == nil {
		data = encode(v.t, s)
	}
	if err := store.PutObject(ctx, "snapshot/"+digest.String(), data); err != nil {
		v.t.Fatal(err)
	}
	value, err := json.Marshal(map[string]any{"number": number, "digest": digest, "operation": "proof", "accepted_at": time.Now()})
	if err != nil {
		v.t.Fatal(err)
	}
	if _, err := store.Commit(ctx, platform.NewTransaction().Put("head", value).Build()); err != nil {
		v.t.Fatal(err)
	}
}

// broadcast sends a version to each node as another node does.
func (v *versions) broadcast(ctx context.Context, number uint64, data []byte) {
	v.t.Helper()
	transport, err := v.PeerTransport()
	if err != nil {
		v.t.Fatal(err)
	}
	defer func() { _ = transport.Close() }()
	digest := make([]byte, 32)
	for _, n := range v.Nodes() {
		_, err := transport.Request(ctx, n.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Broadcast{Broadcast: &wire.Broadcast{
			Id: "proof", Origin: "proof", FailureDomain: n.FailureDomain(), RangeStart: 1, RangeEnd: 2,
			Update: &wire.Broadcast_Configuration{Configuration: &wire.ConfigurationUpdate{
				Version: &wire.Version{Number: number, Digest: digest}, BaseNumber: number - 1, Delta: data,
			}},
		}}})
		if err != nil {
			v.t.Fatal(err)
		}
	}
}

// rejected waits until the status shows a rejection of a version with a reason in each failure domain, or none at all
// for number 0.
func (v *versions) rejected(ctx context.Context, what string, number uint64) {
	v.t.Helper()
	client, err := v.Operator()
	if err != nil {
		v.t.Fatal(err)
	}
	defer client.Close()
	var status baobaboperator.Status
	for ctx.Err() == nil {
		if status, err = client.Status(ctx); err != nil {
			continue
		}
		domains := map[string]bool{}
		for _, r := range status.Rejections {
			if r.Version.Number == number && r.Node != "" && r.Reason != "" {
				domains[r.FailureDomain] = true
			}
		}
		if number == 0 && len(status.Rejections) == 0 {
			return
		}
		if len(domains) == len(status.FailureDomains) && number > 0 {
			v.t.Logf("%s: %s", what, status.Rejections[0].Reason)
			return
		}
	}
	v.t.Fatalf("%s: status shows rejections %v, want version %d", what, status.Rejections, number)
}

func encode(t *testing.T, s *configuration.Snapshot) []byte {
	t.Helper()
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func delta(t *testing.T, base, next *configuration.Snapshot) []byte {
	t.Helper()
	data, err := configuration.NewDelta(base, next).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
