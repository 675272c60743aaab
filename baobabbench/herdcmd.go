package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// herdCmd measures the recovery of nodes that are killed and restarted at the same time (a thundering herd): the time
// until they are ready, and the load on the platform.
type herdCmd struct {
	Nodes  int           `arg:"--nodes" default:"90" help:"number of nodes, in three failure domains"`
	Settle time.Duration `arg:"--settle" default:"10s" help:"time before each herd, whose rates are those at rest"`
}

// counterInterval is the interval at which the platform's counters are read. Rates are those of the busiest second.
const counterInterval = 250 * time.Millisecond

// sampleTail is how long the platform's counters are still read after the last node is ready, because the nodes are
// then still discovering each other.
const sampleTail = 5 * time.Second

// A platformSampler reads the platform's counters at a fixed interval until it is closed.
type platformSampler struct {
	cancel  context.CancelFunc
	done    chan struct{} // Closed after the last sample.
	samples []baobabemulator.PlatformCounters
}

func (c *herdCmd) run(ctx context.Context, b *bench) error {
	m, err := b.startFleet(ctx, b.binaries, c.Nodes)
	if err != nil {
		return err
	}
	defer m.Close()
	herds := b.report.addTable("Nodes killed and started in the same moment", "herd", "nodes", "ready p50 s", "ready last s",
		"platform", "reads/s at rest", "reads/s worst second", "writes/s worst second", "throttled", "links dialled by the herd")
	for _, v := range []struct {
		name       string
		nodes      []*baobabemulator.MeshNode
		platformUp bool
	}{
		{"one failure domain", m.NodesInDomain(1), true},
		{"all nodes", m.Nodes(), true},
		{"one failure domain", m.NodesInDomain(2), false},
	} {
		if err := c.measureHerd(ctx, m, v.name, v.nodes, v.platformUp, herds); err != nil {
			return err
		}
	}
	return nil
}

// measureHerd restarts the given nodes together, with the platform up or down, and adds a row to the table.
func (c *herdCmd) measureHerd(
	ctx context.Context, m *runningMesh, name string, nodes []*baobabemulator.MeshNode, platformUp bool, herds *table,
) error {
	restSampler := startPlatformSampler(ctx, m)
	if err := pause(ctx, c.Settle); err != nil {
		return err
	}
	atRest, _ := restSampler.close()
	if !platformUp {
		if err := m.SetPlatformFaults(ctx, `{"down": true}`); err != nil {
			return err
		}
	}
	sampler := startPlatformSampler(ctx, m)
	ready, err := restartTogether(ctx, m, nodes)
	if err == nil {
		err = pause(ctx, sampleTail)
	}
	reads, writes := sampler.close()
	if err != nil {
		return err
	}
	state, throttled := "up", sampler.throttled()
	if !platformUp {
		state = "down"
		if err := m.SetPlatformFaults(ctx, `{"down": false}`); err != nil {
			return err
		}
	}
	dialled := 0.0
	for _, v := range readAllMetrics(ctx, nodes) {
		dialled += v.sum("baobab_peer_links_opened_total", `side="dialled"`)
	}
	herds.addRow(name, len(nodes), ready.percentileMs(50)/1000, ready.percentileMs(100)/1000, state,
		atRest, reads, writes, throttled, dialled)
	return nil
}

// restartTogether kills the given nodes, starts them all at once when the last is dead, and returns the times from then
// until they are ready.
func restartTogether(ctx context.Context, m *runningMesh, nodes []*baobabemulator.MeshNode) (*histogram, error) {
	ctx, cancel := context.WithTimeout(ctx, meshStartTimeout)
	defer cancel()
	var kills sync.WaitGroup
	for _, n := range nodes {
		kills.Go(n.NodeProcess().Kill)
	}
	kills.Wait()
	start := time.Now()
	ready := newHistogram()
	var mu sync.Mutex
	var failure error
	var waits sync.WaitGroup
	for _, n := range nodes {
		waits.Go(func() {
			err := n.NodeProcess().Start()
			if err == nil {
				err = m.WaitReady(ctx, n)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = errors.Wrapf(err, "restart node %s", n.ID())
				return
			}
			ready.record(time.Since(start))
		})
	}
	waits.Wait()
	return ready, failure
}

func startPlatformSampler(ctx context.Context, m *runningMesh) *platformSampler {
	ctx, cancel := context.WithCancel(ctx)
	s := &platformSampler{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for {
			if counters, err := m.PlatformCounters(ctx); err == nil {
				s.samples = append(s.samples, counters)
			}
			if pause(ctx, counterInterval) != nil {
				return
			}
		}
	}()
	return s
}

// close stops the sampler and returns the reads and the writes of the second that had most of them.
func (s *platformSampler) close() (reads, writes float64) {
	s.cancel()
	<-s.done
	const window = int(time.Second / counterInterval)
	for i := window; i < len(s.samples); i++ {
		reads = max(reads, float64(s.samples[i].Reads-s.samples[i-window].Reads))
		writes = max(writes, float64(s.samples[i].Writes-s.samples[i-window].Writes))
	}
	return reads, writes
}

// throttled returns the number of requests that the platform refused due to its rate limits while the sampler ran. It
// is called after close.
func (s *platformSampler) throttled() uint64 {
	if len(s.samples) == 0 {
		return 0
	}
	return s.samples[len(s.samples)-1].Throttled - s.samples[0].Throttled
}
