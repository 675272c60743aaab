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

// fleetServices is the number of services of a fleet.
const fleetServices = 4

// startFleet starts a mesh of the given number of nodes in three failure domains, with embedded upstreams.
func (b *bench) startFleet(ctx context.Context, binaries baobabemulator.Binaries, nodes int, options ...baobabemulator.MeshOption) (*meshRun, error) {
	const domains, slots, connections = 3, 6, 130
	var services []baobabemulator.MeshService
	var names []string
	for i := range fleetServices {
		count := nodes / fleetServices
		if i < nodes%fleetServices {
			count++
		}
		names = append(names, fmt.Sprintf("service-%d", i+1))
		services = append(services, baobabemulator.NewMeshService(names[i], count, slots, connections, 5*time.Millisecond))
	}
	options = append(options, baobabemulator.WithMeshEmbeddedUpstreams(), baobabemulator.WithMeshStartInterval(50*time.Millisecond),
		baobabemulator.WithMeshSeed(b.seed))
	return b.startMesh(ctx, binaries, baobabemulator.NewMeshSpec(domains, services, options...), serviceResources(names))
}

// A change is an accepted change of the configuration.
type change struct {
	number   uint64
	began    time.Time // When the accept was sent.
	answered time.Time // When it was answered.
}

// change edits a label of a service and accepts the edit through one node.
func (m *meshRun) change(ctx context.Context, at *baobabemulator.MeshNode, serial int) (change, error) {
	client, err := m.Operator(at)
	if err != nil {
		return change{}, err
	}
	defer client.Close()
	name := fmt.Sprintf("service-%d", serial%fleetServices+1)
	old, err := client.GetResource(ctx, baobaboperator.KindService, name)
	if err != nil {
		return change{}, errors.Wrap(err, "change")
	}
	text := fmt.Appendf(nil, `{"labels": {"revision": "r%d"}}`, serial)
	if _, err := client.SetResource(ctx, baobaboperator.KindService, name, text, old.Revision); err != nil {
		return change{}, errors.Wrap(err, "change")
	}
	c := change{began: time.Now()}
	accepted, err := client.Accept(ctx, baobaboperator.NewOperationID(), "")
	c.number, c.answered = accepted.Version.Number, time.Now()
	return c, errors.Wrap(err, "change")
}

// A churn kills and starts random nodes again until it is stopped. Node 0 is spared, so that one node stays known.
type churn struct {
	mesh   *meshRun
	stop   context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	starts map[*baobabemulator.MeshNode]time.Time // Guarded by mu; the last start of each restarted node.
	count  int                                    // Guarded by mu.
}

func startChurn(ctx context.Context, m *meshRun, every time.Duration, seed uint64) *churn {
	ctx, cancel := context.WithCancel(ctx)
	c := &churn{mesh: m, stop: cancel, done: make(chan struct{}), starts: map[*baobabemulator.MeshNode]time.Time{}}
	go c.run(ctx, every, rand.New(rand.NewPCG(seed, 2)))
	return c
}

func (c *churn) run(ctx context.Context, every time.Duration, random *rand.Rand) {
	defer close(c.done)
	nodes := c.mesh.Nodes()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		n := nodes[1+random.IntN(len(nodes)-1)]
		c.mu.Lock()
		c.starts[n] = time.Now()
		c.count++
		c.mu.Unlock()
		if err := n.NodeProcess().Restart(); err != nil {
			fmt.Println("churn:", err)
		}
	}
}

// close ends the churn and returns the number of restarts.
func (c *churn) close() int {
	c.stop()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// steady reports whether the node was started before a time.
func (c *churn) steady(n *baobabemulator.MeshNode, before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[n].Before(before)
}
