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

// observerPollTimeout limits one request to a node, so that a paused node does not delay the next request for long.
const observerPollTimeout = 500 * time.Millisecond

// An Observer polls the configuration that is in force at each node of a mesh and collects violations of the guarantees
// for versions. It is safe for concurrent use.
type Observer struct {
	tomb  tomb.Tomb
	nodes []*MeshNode

	mu             sync.Mutex
	lastViews      map[string]baobaboperator.NodeView // Guarded by mu; last view by node id.
	clearedAt      map[string]time.Time               // Guarded by mu; views that were asked for earlier are not kept, by node id.
	servedVersions map[string]uint64                  // Guarded by mu; highest version of a ready node by node id.
	digests        map[uint64]string                  // Guarded by mu; digest by version number.
	violations     map[string]bool                    // Guarded by mu.
	responses      int                                // Guarded by mu; number of views received.
}

// Observe starts an observer of all nodes. The caller must close it.
func (m *Mesh) Observe() (*Observer, error) {
	o := &Observer{
		nodes:          m.nodes,
		lastViews:      map[string]baobaboperator.NodeView{},
		clearedAt:      map[string]time.Time{},
		servedVersions: map[string]uint64{},
		digests:        map[uint64]string{},
		violations:     map[string]bool{},
	}
	clients := make([]*baobaboperator.Client, len(m.nodes))
	for i, n := range m.nodes {
		c, err := baobaboperator.NewClient([]string{n.OperatorAddress()}, meshOperatorToken,
			baobaboperator.WithRounds(1), baobaboperator.WithAttemptTimeout(observerPollTimeout))
		if err != nil {
			return nil, err
		}
		clients[i] = c
	}
	o.tomb.Go(func() error {
		for i, n := range m.nodes {
			o.tomb.Go(func() error { return o.pollNode(n.id, clients[i]) })
		}
		return nil
	})
	return o, nil
}

// Close stops polling.
func (o *Observer) Close() {
	o.tomb.Kill(nil)
	_ = o.tomb.Wait()
}

// Violations returns the violations so far: a ready node with a lower version than before, also across restarts; two
// digests for one version number; and a route whose service or policy is missing.
func (o *Observer) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.violations))
}

// Responses returns the number of views received so far.
func (o *Observer) Responses() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.responses
}

// LastView returns the last view of a node, or the zero value if there is none.
func (o *Observer) LastView(n *MeshNode) baobaboperator.NodeView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastViews[n.id]
}

// WaitUntil waits until a condition holds for the views of the given nodes, or of all nodes without arguments, and
// returns how long that took. Views that were asked for before the call are ignored.
func (o *Observer) WaitUntil(
	ctx context.Context, what string, condition func(baobaboperator.NodeView) bool, nodes ...*MeshNode,
) (time.Duration, error) {
	if len(nodes) == 0 {
		nodes = o.nodes
	}
	start := time.Now()
	o.clearLastViews(start, nodes)
	err := waitFor(ctx, what, func() bool {
		return !slices.ContainsFunc(nodes, func(n *MeshNode) bool {
			v := o.LastView(n)
			return v.Node == "" || !condition(v)
		})
	})
	return time.Since(start), err
}

// WaitVersion waits until the given nodes, or all nodes without arguments, are ready and have a version or a newer one.
func (o *Observer) WaitVersion(ctx context.Context, number uint64, nodes ...*MeshNode) (time.Duration, error) {
	return o.WaitUntil(ctx, fmt.Sprintf("version %d", number), func(v baobaboperator.NodeView) bool {
		return v.Ready && v.Version.Number >= number
	}, nodes...)
}

func (o *Observer) clearLastViews(now time.Time, nodes []*MeshNode) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range nodes {
		delete(o.lastViews, n.id)
		o.clearedAt[n.id] = now
	}
}

func (o *Observer) pollNode(id string, c *baobaboperator.Client) error {
	defer c.Close()
	ctx := o.tomb.Context(context.Background())
	for {
		asked := time.Now()
		if v, err := c.Node(ctx); err == nil {
			o.recordView(asked, id, v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

func (o *Observer) recordView(asked time.Time, id string, v baobaboperator.NodeView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.responses++
	if !asked.Before(o.clearedAt[id]) {
		o.lastViews[id] = v
	}
	number := v.Version.Number
	if v.Ready && number < o.servedVersions[id] {
		o.addViolation("%s went back from version %d to %d", id, o.servedVersions[id], number)
	}
	if v.Ready {
		o.servedVersions[id] = max(o.servedVersions[id], number)
	}
	if d, ok := o.digests[number]; ok && d != v.Version.Digest {
		o.addViolation("%s has version %d with digest %s, another node has %s", id, number, v.Version.Digest, d)
	}
	o.digests[number] = v.Version.Digest
	for _, r := range v.Routes {
		if !slices.Contains(v.Services, r.Service) || !slices.Contains(v.Policies, effectivePolicy(r)) {
			o.addViolation("%s has route %s of version %d without service %s or policy %s",
				id, r.Name, number, r.Service, r.Policy)
		}
	}
}

// effectivePolicy returns the policy of a route, which is the default policy if the route names none.
func effectivePolicy(r baobaboperator.RouteView) string {
	if r.Policy == "" {
		return "default"
	}
	return r.Policy
}

// addViolation records a violation. The caller must hold mu.
func (o *Observer) addViolation(format string, args ...any) {
	o.violations[fmt.Sprintf(format, args...)] = true
}
