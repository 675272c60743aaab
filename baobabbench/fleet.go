package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
)

// fleetServiceCount is the number of services among which the nodes of a fleet are divided.
const fleetServiceCount = 4

// startFleet starts a mesh of the given number of nodes in three failure domains, with upstreams inside this process.
func (b *bench) startFleet(
	ctx context.Context, binaries baobabemulator.Binaries, nodes int, options ...baobabemulator.MeshOption,
) (*runningMesh, error) {
	const domains, slots, connections = 3, 6, 130
	var services []baobabemulator.MeshService
	var names []string
	for i := range fleetServiceCount {
		count := nodes / fleetServiceCount
		if i < nodes%fleetServiceCount {
			count++
		}
		names = append(names, fmt.Sprintf("service-%d", i+1))
		services = append(services, baobabemulator.NewMeshService(names[i], count, slots, connections, 5*time.Millisecond))
	}
	options = append(options, baobabemulator.WithMeshEmbeddedUpstreams(), baobabemulator.WithMeshStartInterval(50*time.Millisecond),
		baobabemulator.WithMeshSeed(b.seed))
	return b.startMesh(ctx, binaries, baobabemulator.NewMeshSpec(domains, services, options...), serviceResources(names))
}

// An acceptedChange is a configuration version that the operator API accepted.
type acceptedChange struct {
	versionNumber uint64
	sentAt        time.Time // Time before the accept request was sent.
	answeredAt    time.Time // Time when its answer arrived.
}

// acceptLabelChange sets a label of one service to a value derived from serial and accepts the change, through the
// operator API of node at.
func (m *runningMesh) acceptLabelChange(
	ctx context.Context, at *baobabemulator.MeshNode, serial int,
) (acceptedChange, error) {
	client, err := m.Operator(at)
	if err != nil {
		return acceptedChange{}, err
	}
	defer client.Close()
	name := fmt.Sprintf("service-%d", serial%fleetServiceCount+1)
	old, err := client.GetResource(ctx, baobaboperator.KindService, name)
	if err != nil {
		return acceptedChange{}, errors.Wrap(err, "change")
	}
	text := fmt.Appendf(nil, `{"labels": {"revision": "r%d"}}`, serial)
	if _, err := client.SetResource(ctx, baobaboperator.KindService, name, text, old.Revision); err != nil {
		return acceptedChange{}, errors.Wrap(err, "change")
	}
	c := acceptedChange{sentAt: time.Now()}
	accepted, err := client.Accept(ctx, baobaboperator.NewOperationID(), "")
	c.versionNumber, c.answeredAt = accepted.Version.Number, time.Now()
	return c, errors.Wrap(err, "change")
}

// A nodeRestarter kills and restarts random nodes at a fixed interval until it is closed. It never restarts node 0, so
// that one known node is always up.
type nodeRestarter struct {
	mesh       *runningMesh
	cancel     context.CancelFunc
	done       chan struct{}
	mu         sync.Mutex
	lastStarts map[*baobabemulator.MeshNode]time.Time // Guarded by mu; the last start of each restarted node.
	restarts   int                                    // Guarded by mu.
}

func startNodeRestarter(ctx context.Context, m *runningMesh, interval time.Duration, seed uint64) *nodeRestarter {
	ctx, cancel := context.WithCancel(ctx)
	r := &nodeRestarter{
		mesh: m, cancel: cancel, done: make(chan struct{}), lastStarts: map[*baobabemulator.MeshNode]time.Time{},
	}
	go r.run(ctx, interval, rand.New(rand.NewPCG(seed, 2)))
	return r
}

func (r *nodeRestarter) run(ctx context.Context, interval time.Duration, random *rand.Rand) {
	defer close(r.done)
	nodes := r.mesh.Nodes()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		n := nodes[1+random.IntN(len(nodes)-1)]
		r.mu.Lock()
		r.lastStarts[n] = time.Now()
		r.restarts++
		r.mu.Unlock()
		if err := n.NodeProcess().Restart(); err != nil {
			fmt.Println("churn:", err)
		}
	}
}

// close stops the restarts and returns their number.
func (r *nodeRestarter) close() int {
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restarts
}

// upSince reports whether the last start of the node was before t.
func (r *nodeRestarter) upSince(n *baobabemulator.MeshNode, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStarts[n].Before(t)
}
