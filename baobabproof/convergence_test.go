package baobabproof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
	release "github.com/baobabdale/baobabdale/baobabrelease"
)

// TestAcceptedVersionIsInForce guards against an accepted version that does not become active on every node, or that is
// replaced by a version without its changes. Each case accepts a version under a failure; at the end every node must
// have the routes of all accepted versions.
func TestAcceptedVersionIsInForce(t *testing.T) {
	cases := []struct {
		name string
		run  func(context.Context, *observedMesh)
	}{
		{"no failure", func(ctx context.Context, m *observedMesh) {
			_, number := m.acceptRoute(ctx, m.Nodes()[0])
			m.waitVersion(ctx, "no failure", number)
		}},
		{"accepting node killed", func(ctx context.Context, m *observedMesh) {
			node := m.Nodes()[1]
			_, number := m.acceptRoute(ctx, node)
			killNodes(node)
			m.waitVersion(ctx, "accepting node killed", number, m.nodesExcept(node)...)
			m.startNodes(node)
			m.waitVersion(ctx, "accepting node restarted", number)
		}},
		{"accepting process gone before it spreads", func(ctx context.Context, m *observedMesh) {
			if err := m.newChanger().SetRoute(ctx, "unspread", "deposits"); err != nil {
				m.t.Fatal(err)
			}
			number := acceptWithoutBroadcast(ctx, m)
			m.waitVersion(ctx, "accepting process gone before it spreads", number)
		}},
		{"accepting node paused", func(ctx context.Context, m *observedMesh) {
			node := m.Nodes()[2]
			_, number := m.acceptRoute(ctx, node)
			node.NodeProcess().Pause()
			m.waitVersion(ctx, "accepting node paused", number, m.nodesExcept(node)...)
			node.NodeProcess().Resume()
			m.waitVersion(ctx, "accepting node resumed", number)
		}},
		{"accepting node unreachable for those that lack the base", func(ctx context.Context, m *observedMesh) {
			node := m.NodesInDomain(1)[0]
			m.Partition(3)
			_, base := m.acceptRoute(ctx, node)
			m.waitVersion(ctx, "base without a failure domain", base, append(m.NodesInDomain(1), m.NodesInDomain(2)...)...)
			m.Heal(3)
			node.PeerProxy().HalfOpen()
			_, number := m.acceptRoute(ctx, node)
			m.waitVersion(ctx, "accepting node unreachable", number)
			node.PeerProxy().Heal()
		}},
		{"platform down", func(ctx context.Context, m *observedMesh) {
			_, number := m.acceptRoute(ctx, m.Nodes()[3])
			m.mustSetPlatformFaults(ctx, `{"down": true}`)
			m.waitVersion(ctx, "platform down", number)
			m.mustSetPlatformFaults(ctx, `{"down": false}`)
		}},
		{"two operators", func(ctx context.Context, m *observedMesh) {
			m.waitVersion(ctx, "two operators", acceptConcurrently(ctx, m, 2, 6))
		}},
		{"half of the nodes restarted", func(ctx context.Context, m *observedMesh) {
			half := m.Nodes()[7:]
			killNodes(half...)
			_, number := m.acceptRoute(ctx, m.Nodes()[4])
			m.startNodes(half...)
			m.waitVersion(ctx, "half of the nodes restarted", number)
		}},
		{"failure domain joined again", func(ctx context.Context, m *observedMesh) {
			m.Partition(2)
			rest := append(m.NodesInDomain(1), m.NodesInDomain(3)...)
			_, number := m.acceptRoute(ctx, rest...)
			m.waitVersion(ctx, "without a failure domain", number, rest...)
			m.Heal(2)
			m.waitVersion(ctx, "failure domain joined again", number)
		}},
	}
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run(fmt.Sprintf("delay %v", delay), func(t *testing.T) {
			m := startObservedMesh(t, baobabemulator.WithMeshDelay(delay, delay))
			ctx := testContext(t)
			for _, c := range cases {
				c.run(ctx, m)
				if t.Failed() {
					t.Fatalf("in case %s", c.name)
				}
			}
			m.checkAcceptedRoutes(ctx)
		})
	}
}

// nodesExcept returns the nodes other than the given one.
func (m *observedMesh) nodesExcept(node *baobabemulator.MeshNode) []*baobabemulator.MeshNode {
	var list []*baobabemulator.MeshNode
	for _, n := range m.Nodes() {
		if n != node {
			list = append(list, n)
		}
	}
	return list
}

// checkAcceptedRoutes checks that each node has all accepted routes, and waits until each answers calls on the last
// one.
func (m *observedMesh) checkAcceptedRoutes(ctx context.Context) {
	m.t.Helper()
	m.waitMemberCount(ctx, len(m.Nodes()))
	for _, n := range m.Nodes() {
		for i := 1; i <= m.routeCount; i++ {
			if _, ok := m.observer.LastView(n).Route(fmt.Sprintf("r%d", i)); !ok {
				m.t.Errorf("%s lacks the accepted route r%d", n.ID(), i)
			}
		}
	}
	m.waitServed(ctx, baobabemulator.RoutePathPrefix(fmt.Sprintf("r%d", m.routeCount)), m.Nodes(), m.Nodes())
}

// acceptConcurrently has several operators create and accept routes at the same time, each through its own node, and
// returns the highest version number.
func acceptConcurrently(ctx context.Context, m *observedMesh, operators, changes int) uint64 {
	m.t.Helper()
	var mu sync.Mutex
	var highest uint64
	var wg sync.WaitGroup
	first := m.routeCount
	m.routeCount += operators * changes
	for o := range operators {
		c := m.newChanger(m.Nodes()[o*len(m.Nodes())/operators])
		wg.Go(func() {
			for i := range changes {
				version, err := c.AcceptRoute(ctx, fmt.Sprintf("r%d", first+o*changes+i+1), "reservations")
				if err != nil {
					m.t.Error(err)
					return
				}
				mu.Lock()
				highest = max(highest, version.Number)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return highest
}

// acceptWithoutBroadcast accepts the candidate at the platform without notifying any node, like a node that dies
// between the commit and the broadcast. It returns the version number.
func acceptWithoutBroadcast(ctx context.Context, m *observedMesh) uint64 {
	m.t.Helper()
	s, err := release.NewRepository(m.platformClient()).Accept(ctx, time.Now(), baobaboperator.NewOperationID(), configuration.Digest{})
	if err != nil {
		m.t.Fatal(err)
	}
	return s.Version().Number()
}
