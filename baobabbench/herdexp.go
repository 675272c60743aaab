package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// herdCmd measures the return of nodes that were killed and started again in the same moment: the time until they
// serve, and what this costs the platform.
type herdCmd struct {
	Nodes  int           `arg:"--nodes" default:"90" help:"number of nodes, in three failure domains"`
	Settle time.Duration `arg:"--settle" default:"10s" help:"time before each herd, whose rates are those at rest"`
}

// herdTick is the interval at which the platform's counters are read. Rates are those of the worst second.
const herdTick = 250 * time.Millisecond

// herdTail is how long the platform is watched after the last node is ready, while the nodes find each other.
const herdTail = 5 * time.Second

// A platformWatch reads the platform's counters until it is stopped.
type platformWatch struct {
	stop   context.CancelFunc
	done   chan struct{}
	counts []baobabemulator.PlatformCounters
}

func (c *herdCmd) run(ctx context.Context, b *bench) error {
	m, err := b.startFleet(ctx, b.binaries, c.Nodes)
	if err != nil {
		return err
	}
	defer m.Close()
	t := b.report.table("Nodes killed and started in the same moment", "herd", "nodes", "ready p50 s", "ready last s",
		"platform", "reads/s at rest", "reads/s worst second", "writes/s worst second", "throttled", "links dialled by the herd")
	for _, v := range []struct {
		name     string
		nodes    []*baobabemulator.MeshNode
		platform bool
	}{
		{"one failure domain", m.NodesInDomain(1), true},
		{"all nodes", m.Nodes(), true},
		{"one failure domain", m.NodesInDomain(2), false},
	} {
		if err := c.measure(ctx, m, v.name, v.nodes, v.platform, t); err != nil {
			return err
		}
	}
	return nil
}

func (c *herdCmd) measure(ctx context.Context, m *meshRun, name string, nodes []*baobabemulator.MeshNode, platform bool, t *table) error {
	rest := watchPlatform(ctx, m)
	if err := pause(ctx, c.Settle); err != nil {
		return err
	}
	atRest, _ := rest.close()
	if !platform {
		if err := m.SetPlatformFaults(ctx, `{"down": true}`); err != nil {
			return err
		}
	}
	watch := watchPlatform(ctx, m)
	ready, err := herd(ctx, m, nodes)
	if err == nil {
		err = pause(ctx, herdTail)
	}
	reads, writes := watch.close()
	if err != nil {
		return err
	}
	state, throttled := "up", watch.throttled()
	if !platform {
		state = "down"
		if err := m.SetPlatformFaults(ctx, `{"down": false}`); err != nil {
			return err
		}
	}
	dialled := 0.0
	for _, v := range readAllMetrics(ctx, nodes) {
		dialled += v.sum("baobab_peer_links_opened_total", `side="dialled"`)
	}
	t.add(name, len(nodes), ready.ms(50)/1000, ready.ms(100)/1000, state, atRest, reads, writes, throttled, dialled)
	return nil
}

// herd kills all of the nodes, starts them, and returns the times until they are ready.
func herd(ctx context.Context, m *meshRun, nodes []*baobabemulator.MeshNode) (*histogram, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var kills sync.WaitGroup
	for _, n := range nodes {
		kills.Go(n.NodeProcess().Kill)
	}
	kills.Wait()
	begin := time.Now()
	ready := newHistogram()
	var mu sync.Mutex
	var failed error
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
				failed = errors.Wrapf(err, "herd: %s", n.ID())
				return
			}
			ready.record(time.Since(begin))
		})
	}
	waits.Wait()
	return ready, failed
}

func watchPlatform(ctx context.Context, m *meshRun) *platformWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &platformWatch{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			if counters, err := m.PlatformCounters(ctx); err == nil {
				w.counts = append(w.counts, counters)
			}
			if pause(ctx, herdTick) != nil {
				return
			}
		}
	}()
	return w
}

// close ends the watch and returns the reads and writes of the worst second.
func (w *platformWatch) close() (reads, writes float64) {
	w.stop()
	<-w.done
	const window = int(time.Second / herdTick)
	for i := window; i < len(w.counts); i++ {
		reads = max(reads, float64(w.counts[i].Reads-w.counts[i-window].Reads))
		writes = max(writes, float64(w.counts[i].Writes-w.counts[i-window].Writes))
	}
	return reads, writes
}

// throttled returns the requests that the platform refused because of its rates.
func (w *platformWatch) throttled() uint64 {
	if len(w.counts) == 0 {
		return 0
	}
	return w.counts[len(w.counts)-1].Throttled - w.counts[0].Throttled
}
