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

// TestInvalidVersionIsRejectedWhole guards against an invalid version that is applied in part or replaces a valid one.
// Each case distributes a version that no operator could have accepted. The nodes must keep serving the active version,
// report the rejection where they can tell which version it was, and activate the next valid version.
func TestInvalidVersionIsRejectedWhole(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	route, number := m.acceptRoute(ctx)
	path := baobabemulator.RoutePathPrefix(route)
	m.waitVersion(ctx, "first version", number)
	m.waitServed(ctx, path, m.Nodes(), m.Nodes())
	base := m.headSnapshot(ctx)
	// The bad snapshot adds a route to a service that does not exist and removes an existing route.
	bad := m.changedSnapshot(base, "absent-service")
	good := m.changedSnapshot(base, "deposits")
	encoded := encodeSnapshot(t, good)
	baseDelta := encodeDelta(t, base, bad)
	tests := []struct {
		name       string
		visible    bool // Whether nodes report the rejection.
		distribute func(next uint64)
	}{
		{"object with another content than its digest", true, func(n uint64) { m.publishHead(ctx, n, bad, encoded) }},
		{"truncated object", true, func(n uint64) { m.publishHead(ctx, n, good, encoded[:len(encoded)/2]) }},
		{"snapshot that fails validation", true, func(n uint64) {
			m.publishHead(ctx, n, m.changedSnapshot(base, "another-absent-service"), nil)
		}},
		{"delta on another base", false, func(n uint64) {
			// The delta only adds a resource, so it could be applied to any base.
			other := configuration.NewSnapshot(n-1, base.Document())
			m.broadcastDelta(ctx, n, encodeDelta(t, other, configuration.NewSnapshot(n, m.snapshotWithRoute(base, "deposits", "").Document())))
		}},
		{"delta that fails validation", true, func(n uint64) {
			now := m.headSnapshot(ctx)
			m.broadcastDelta(ctx, n, encodeDelta(t, now, m.changedSnapshot(now, "absent-service")))
		}},
		{"truncated delta", false, func(n uint64) { m.broadcastDelta(ctx, n, baseDelta[:len(baseDelta)/2]) }},
	}
	for _, tt := range tests {
		before := m.observer.LastView(m.Nodes()[0]).Version
		next := before.Number + 1
		tt.distribute(next)
		if tt.visible {
			m.waitRejection(ctx, tt.name, next)
		}
		for _, n := range m.Nodes() {
			if got := m.observer.LastView(n).Version; got != before {
				t.Errorf("%s: %s has version %v, want %v", tt.name, n.ID(), got, before)
			}
		}
		m.checkAnswered(ctx, path, m.Nodes()...)
		_, number := m.acceptRoute(ctx)
		m.waitVersion(ctx, "good version after "+tt.name, number)
		m.waitRejection(ctx, tt.name, 0)
	}
	m.checkAcceptedRoutes(ctx)
}

// TestRestartAfterWrongNumber guards against a restarted node that never becomes ready because a peer was told of a
// version that does not exist.
func TestRestartAfterWrongNumber(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	_, number := m.acceptRoute(ctx)
	m.waitVersion(ctx, "first version", number)
	base := m.headSnapshot(ctx)
	farAhead := configuration.NewSnapshot(number+100, base.Document())
	m.broadcastDelta(ctx, number+101, encodeDelta(t, farAhead, configuration.NewSnapshot(number+101, m.changedSnapshot(base, "deposits").Document())))
	node := m.Nodes()[0]
	killNodes(node)
	m.startNodes(node)
	m.waitVersion(ctx, "restarted", number, node)
}

// headSnapshot returns the snapshot that the head of the release history refers to.
func (m *observedMesh) headSnapshot(ctx context.Context) *configuration.Snapshot {
	m.t.Helper()
	repository := release.NewRepository(m.platformClient())
	head, err := repository.Head(ctx)
	if err != nil {
		m.t.Fatal(err)
	}
	s, err := repository.Load(ctx, head)
	if err != nil {
		m.t.Fatal(err)
	}
	return s
}

// changedSnapshot returns the version after base, with a route to the service added and the first route removed.
func (m *observedMesh) changedSnapshot(base *configuration.Snapshot, service string) *configuration.Snapshot {
	m.t.Helper()
	return m.snapshotWithRoute(base, service, base.Document().Routes()[0].Name())
}

// snapshotWithRoute returns the version after base, with a route to the service added and the removed route left out.
func (m *observedMesh) snapshotWithRoute(base *configuration.Snapshot, service, removed string) *configuration.Snapshot {
	m.t.Helper()
	text := `{"path_prefix": "/added/` + service + `", "service": "` + service + `", "rank": "normal", "timeout": "1s"}`
	route, err := configuration.ParseResource(configuration.KindRoute, "added-"+service, []byte(text))
	if err != nil {
		m.t.Fatal(err)
	}
	list := []configuration.Resource{route}
	for _, r := range base.Document().Resources() {
		if r.Kind() != configuration.KindRoute || r.Name() != removed {
			list = append(list, r)
		}
	}
	d, err := configuration.NewDocument(list)
	if err != nil {
		m.t.Fatal(err)
	}
	return configuration.NewSnapshot(base.Version().Number()+1, d)
}

// publishHead writes a version to the platform as an accept does, but without any check. If data is nil, it stores the
// encoded snapshot.
func (m *observedMesh) publishHead(ctx context.Context, number uint64, s *configuration.Snapshot, data []byte) {
	m.t.Helper()
	store := m.platformClient()
	digest := s.Version().Digest()
	if data == nil {
		data = encodeSnapshot(m.t, s)
	}
	if err := store.PutObject(ctx, "snapshot/"+digest.String(), data); err != nil {
		m.t.Fatal(err)
	}
	value, err := json.Marshal(map[string]any{"number": number, "digest": digest, "operation": "proof", "accepted_at": time.Now()})
	if err != nil {
		m.t.Fatal(err)
	}
	if _, err := store.Commit(ctx, platform.NewTransaction().Put("head", value).Build()); err != nil {
		m.t.Fatal(err)
	}
}

// broadcastDelta sends a version as a delta to each node, in the way that another node does.
func (m *observedMesh) broadcastDelta(ctx context.Context, number uint64, data []byte) {
	m.t.Helper()
	transport, err := m.PeerTransport()
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = transport.Close() }()
	digest := make([]byte, 32)
	for _, n := range m.Nodes() {
		_, err := transport.Request(ctx, n.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Broadcast{Broadcast: &wire.Broadcast{
			Id: "proof", Origin: "proof", FailureDomain: n.FailureDomain(), RangeStart: 1, RangeEnd: 2,
			Update: &wire.Broadcast_Configuration{Configuration: &wire.ConfigurationUpdate{
				Version: &wire.Version{Number: number, Digest: digest}, BaseNumber: number - 1, Delta: data,
			}},
		}}})
		if err != nil {
			m.t.Fatal(err)
		}
	}
}

// waitRejection waits until the status shows a rejection of the version, with a reason, in every failure domain. For
// number 0 it waits until the status shows no rejection.
func (m *observedMesh) waitRejection(ctx context.Context, what string, number uint64) {
	m.t.Helper()
	client, err := m.Operator()
	if err != nil {
		m.t.Fatal(err)
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
			m.t.Logf("%s: %s", what, status.Rejections[0].Reason)
			return
		}
	}
	m.t.Fatalf("%s: status shows rejections %v, want version %d", what, status.Rejections, number)
}

func encodeSnapshot(t *testing.T, s *configuration.Snapshot) []byte {
	t.Helper()
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func encodeDelta(t *testing.T, base, next *configuration.Snapshot) []byte {
	t.Helper()
	data, err := configuration.NewDelta(base, next).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
