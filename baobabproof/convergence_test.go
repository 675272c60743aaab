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

// TestAcceptedVersionIsInForce guards against an accepted version that does not reach every node, or that is replaced
// by one without it. Each case accepts a version under a failure; at the end every node has the routes of all.
func TestAcceptedVersionIsInForce(t *testing.T) {
	cases := []struct {
		name string
		run  func(context.Context, *versions)
	}{
		{"no failure", func(ctx context.Context, v *versions) {
			_, number := v.accept(ctx, v.Nodes()[0])
			v.converge(ctx, "no failure", number)
		}},
		{"accepting node killed", func(ctx context.Context, v *versions) {
			node := v.Nodes()[1]
			_, number := v.accept(ctx, node)
			kill(node)
			v.converge(ctx, "accepting node killed", number, v.except(node)...)
			v.start(node)
			v.converge(ctx, "accepting node restarted", number)
		}},
		{"accepting process gone before it spreads", func(ctx context.Context, v *versions) {
			if err := v.changer().SetRoute(ctx, "unspread", "deposits"); err != nil {
				v.t.Fatal(err)
			}
			number := acceptSilently(ctx, v)
			v.converge(ctx, "accepting process gone before it spreads", number)
		}},
		{"accepting node paused", func(ctx context.Context, v *versions) {
			node := v.Nodes()[2]
			_, number := v.accept(ctx, node)
			node.NodeProcess().Pause()
			v.converge(ctx, "accepting node paused", number, v.except(node)...)
			node.NodeProcess().Resume()
			v.converge(ctx, "accepting node resumed", number)
		}},
		{"accepting node unreachable for those that lack the base", func(ctx context.Context, v *versions) {
			node := v.NodesInDomain(1)[0]
			v.Partition(3)
			_, base := v.accept(ctx, node)
			v.converge(ctx, "base without a failure domain", base, append(v.NodesInDomain(1), v.NodesInDomain(2)...)...)
			v.Heal(3)
			node.PeerProxy().HalfOpen()
			_, number := v.accept(ctx, node)
			v.converge(ctx, "accepting node unreachable", number)
			node.PeerProxy().Heal()
		}},
		{"platform down", func(ctx context.Context, v *versions) {
			_, number := v.accept(ctx, v.Nodes()[3])
			v.platformFaults(ctx, `{"down": true}`)
			v.converge(ctx, "platform down", number)
			v.platformFaults(ctx, `{"down": false}`)
		}},
		{"two operators", func(ctx context.Context, v *versions) {
			v.converge(ctx, "two operators", race(ctx, v, 2, 6))
		}},
		{"half of the nodes restarted", func(ctx context.Context, v *versions) {
			half := v.Nodes()[7:]
			kill(half...)
			_, number := v.accept(ctx, v.Nodes()[4])
			v.start(half...)
			v.converge(ctx, "half of the nodes restarted", number)
		}},
		{"failure domain joined again", func(ctx context.Context, v *versions) {
			v.Partition(2)
			rest := append(v.NodesInDomain(1), v.NodesInDomain(3)...)
			_, number := v.accept(ctx, rest...)
			v.converge(ctx, "without a failure domain", number, rest...)
			v.Heal(2)
			v.converge(ctx, "failure domain joined again", number)
		}},
	}
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run(fmt.Sprintf("delay %v", delay), func(t *testing.T) {
			v := startVersions(t, baobabemulator.WithMeshDelay(delay, delay))
			ctx := timeout(t)
			for _, c := range cases {
				c.run(ctx, v)
				if t.Failed() {
					t.Fatalf("in case %s", c.name)
				}
			}
			v.keepsRoutes(ctx)
		})
	}
}

// except returns the nodes other than the given one.
func (v *versions) except(node *baobabemulator.MeshNode) []*baobabemulator.MeshNode {
	var list []*baobabemulator.MeshNode
	for _, n := range v.Nodes() {
		if n != node {
			list = append(list, n)
		}
	}
	return list
}

// keepsRoutes checks that each node has all routes that were accepted, and answers calls on the last one.
func (v *versions) keepsRoutes(ctx context.Context) {
	v.t.Helper()
	v.members(ctx, len(v.Nodes()))
	for _, n := range v.Nodes() {
		for i := 1; i <= v.routes; i++ {
			if _, ok := v.observer.LastView(n).Route(fmt.Sprintf("r%d", i)); !ok {
				v.t.Errorf("%s lacks accepted route r%d", n.ID(), i)
			}
		}
	}
	v.comesToServe(ctx, baobabemulator.RoutePathPrefix(fmt.Sprintf("r%d", v.routes)), v.Nodes(), v.Nodes())
}

// race lets operators change and accept at the same time, each through a node of its own, and returns the highest
// version.
func race(ctx context.Context, v *versions, operators, changes int) uint64 {
	v.t.Helper()
	var mu sync.Mutex
	var highest uint64
	var wg sync.WaitGroup
	first := v.routes
	v.routes += operators * changes
	for o := range operators {
		c := v.changer(v.Nodes()[o*len(v.Nodes())/operators])
		wg.Go(func() {
			for i := range changes {
				version, err := c.AcceptRoute(ctx, fmt.Sprintf("r%d", first+o*changes+i+1), "reservations")
				if err != nil {
					v.t.Error(err)
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

// acceptSilently accepts the candidate at the platform without telling any node, as a node does that dies between the
// commit and the broadcast.
func acceptSilently(ctx context.Context, v *versions) uint64 {
	v.t.Helper()
	s, err := release.NewRepository(v.store()).Accept(ctx, time.Now(), baobaboperator.NewOperationID(), configuration.Digest{})
	if err != nil {
		v.t.Fatal(err)
	}
	return s.Version().Number()
}
