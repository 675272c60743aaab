package baobabemulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// observeTimeout bounds one look at a node, so that a paused node does not hold the look back for long.
const observeTimeout = 500 * time.Millisecond

// An Observer asks each node of a mesh again and again what it has in force, and collects contradictions to what is
// promised about versions. It is safe for concurrent use.
type Observer struct {
	tomb  tomb.Tomb
	nodes []*MeshNode

	mu         sync.Mutex
	last       map[string]baobaboperator.NodeView // Guarded by mu; the last answer by node.
	served     map[string]uint64                  // Guarded by mu; the highest version that a node had while ready.
	digests    map[uint64]string                  // Guarded by mu; by version number.
	violations map[string]bool                    // Guarded by mu.
	looks      int                                // Guarded by mu; answers so far.
}

// Observe starts to ask all nodes. The caller must close the observer.
func (m *Mesh) Observe() (*Observer, error) {
	o := &Observer{
		nodes: m.nodes, last: map[string]baobaboperator.NodeView{}, served: map[string]uint64{}, digests: map[uint64]string{},
		violations: map[string]bool{},
	}
	clients := make([]*baobaboperator.Client, len(m.nodes))
	for i, n := range m.nodes {
		c, err := baobaboperator.NewClient([]string{n.OperatorAddress()}, meshToken,
			baobaboperator.WithRounds(1), baobaboperator.WithAttemptTimeout(observeTimeout))
		if err != nil {
			return nil, err
		}
		clients[i] = c
	}
	o.tomb.Go(func() error {
		for i, n := range m.nodes {
			o.tomb.Go(func() error { return o.watch(n.id, clients[i]) })
		}
		return nil
	})
	return o, nil
}

// Close stops asking.
func (o *Observer) Close() {
	o.tomb.Kill(nil)
	_ = o.tomb.Wait()
}

// Violations returns what contradicts the promises so far: a version that went back at a node, across restarts and
// while it was ready; two contents under one number; and a route without its service or its policy.
func (o *Observer) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.violations))
}

// Looks returns the number of answers so far.
func (o *Observer) Looks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.looks
}

// Last returns the last answer of a node.
func (o *Observer) Last(n *MeshNode) baobaboperator.NodeView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last[n.id]
}

// Wait waits until a condition holds for what each of the nodes, or all, answers from now on, and returns how long
// that took.
func (o *Observer) Wait(ctx context.Context, what string, holds func(baobaboperator.NodeView) bool, nodes ...*MeshNode) (time.Duration, error) {
	if len(nodes) == 0 {
		nodes = o.nodes
	}
	start := time.Now()
	o.forget(nodes)
	err := waitFor(ctx, what, func() bool {
		return !slices.ContainsFunc(nodes, func(n *MeshNode) bool {
			v := o.Last(n)
			return v.Node == "" || !holds(v)
		})
	})
	return time.Since(start), err
}

// WaitVersion waits until each of the nodes, or all, is ready and has a version or a newer one.
func (o *Observer) WaitVersion(ctx context.Context, number uint64, nodes ...*MeshNode) (time.Duration, error) {
	return o.Wait(ctx, fmt.Sprintf("version %d", number), func(v baobaboperator.NodeView) bool {
		return v.Ready && v.Version.Number >= number
	}, nodes...)
}

func (o *Observer) forget(nodes []*MeshNode) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range nodes {
		delete(o.last, n.id)
	}
}

func (o *Observer) watch(id string, c *baobaboperator.Client) error {
	defer c.Close()
	ctx := o.tomb.Context(context.Background())
	for {
		if v, err := c.Node(ctx); err == nil {
			o.record(id, v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollPause):
		}
	}
}

func (o *Observer) record(id string, v baobaboperator.NodeView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.looks++
	o.last[id] = v
	number := v.Version.Number
	if v.Ready && number < o.served[id] {
		o.violate("%s went back from version %d to %d", id, o.served[id], number)
	}
	if v.Ready {
		o.served[id] = max(o.served[id], number)
	}
	if d, ok := o.digests[number]; ok && d != v.Version.Digest {
		o.violate("%s has version %d with digest %s, another node has %s", id, number, v.Version.Digest, d)
	}
	o.digests[number] = v.Version.Digest
	for _, r := range v.Routes {
		if !slices.Contains(v.Services, r.Service) || !slices.Contains(v.Policies, policyOf(r)) {
			o.violate("%s has route %s of version %d without service %s or policy %s", id, r.Name, number, r.Service, r.Policy)
		}
	}
}

// policyOf returns the policy that a route without one has.
func policyOf(r baobaboperator.RouteView) string {
	if r.Policy == "" {
		return "default"
	}
	return r.Policy
}

// violate requires mu.
func (o *Observer) violate(format string, args ...any) {
	o.violations[fmt.Sprintf(format, args...)] = true
}
