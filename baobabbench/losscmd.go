package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// lossCmd counts the answers that callers get while VMs, a failure domain or the platform are lost, and the violations:
// wrong, duplicate or lost answers, of which there must be none.
type lossCmd struct {
	Rate  float64       `arg:"--rate" default:"200" help:"calls per second, a quarter of them keyed orders"`
	Kills int           `arg:"--kills" default:"16" help:"VMs killed one after the other; each is back after 2 s"`
	Phase time.Duration `arg:"--phase" default:"20s" help:"length of each phase"`
}

// vmDowntime is the time between the kill of a VM and its restart.
const vmDowntime = 2 * time.Second

// A lossMesh is a running mesh that tracks which of its VMs were killed, so that callers use only the entries of
// others.
type lossMesh struct {
	*runningMesh
	mu   sync.Mutex
	down map[*baobabemulator.MeshNode]bool // Guarded by mu; true from the kill until the node is ready again.
}

func (c *lossCmd) run(ctx context.Context, b *bench) error {
	spec, err := baobabemulator.DeploymentSpec("booking", baobabemulator.WithMeshProxies(), baobabemulator.WithMeshSeed(b.seed))
	if err != nil {
		return err
	}
	example, err := exampleResources(b.binaries, "booking")
	if err != nil {
		return err
	}
	run, err := b.startMesh(ctx, b.binaries, spec, example)
	if err != nil {
		return err
	}
	defer run.Close()
	m := &lossMesh{runningMesh: run, down: map[*baobabemulator.MeshNode]bool{}}
	caller := baobabemulator.NewCaller("loss")
	defer caller.Close()
	results := b.report.addTable("What callers got", "phase", "method", "calls", "answered", "refused, not run", "unknown", "no answer",
		"p50 ms", "p99 ms", "reasons")
	for i, p := range []struct {
		name   string
		inject func(context.Context) error
	}{
		{"no loss", func(context.Context) error { return nil }},
		{fmt.Sprintf("%d VMs killed", c.Kills), func(ctx context.Context) error { return c.killVMs(ctx, m, b.seed) }},
		{"a failure domain killed", func(ctx context.Context) error { return c.killDomain(ctx, m) }},
		{"a failure domain cut off", func(ctx context.Context) error { return c.cutDomain(ctx, m) }},
		{"platform down", func(ctx context.Context) error { return c.takePlatformDown(ctx, m) }},
	} {
		if err := c.runPhase(ctx, b, m, caller, i, p.name, p.inject, results); err != nil {
			return err
		}
	}
	runs, err := m.Runs()
	if err != nil {
		return err
	}
	records := caller.Records()
	violations := baobabemulator.Violations(records, runs)
	for _, text := range violations[:min(5, len(violations))] {
		fmt.Println("violation:", text)
	}
	b.report.addTable("Contradictions between callers and upstreams",
		"calls", "runs", "violations").addRow(len(records), len(runs), len(violations))
	return nil
}

// runPhase sends calls at a constant mean rate while inject causes a loss, and adds a row for each method to the table.
func (c *lossCmd) runPhase(
	ctx context.Context, b *bench, m *lossMesh, caller *baobabemulator.Caller, phaseNumber int, name string,
	inject func(context.Context) error, results *table,
) error {
	random := rand.New(rand.NewPCG(b.seed, uint64(phaseNumber)))
	schedule := poissonSchedule(random, c.Rate, c.Phase)
	gets := &callStats{latency: newHistogram(), failureReasons: map[string]int{}}
	posts := &callStats{latency: newHistogram(), failureReasons: map[string]int{}}
	outcomes := map[*callStats]map[string]int{gets: {}, posts: {}}
	var mu sync.Mutex
	injectErr := make(chan error, 1)
	go func() { injectErr <- inject(ctx) }()
	openLoop(ctx, schedule, func(i int, scheduled time.Time) {
		entry := m.nextUpNode(i)
		if entry == nil {
			return
		}
		r := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/availability"}
		stats := gets
		if i%4 == 0 {
			r = baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits",
				Key: fmt.Sprintf("loss-%d-%d", phaseNumber, i), Caller: "club"}
			stats = posts
		}
		record := caller.Do(ctx, entry.EntryURL(), r)
		mu.Lock()
		defer mu.Unlock()
		stats.offered++
		outcomes[stats][callOutcome(record)]++
		if record.Answered() {
			stats.answered++
			stats.latency.record(record.End.Sub(scheduled))
			return
		}
		stats.failureReasons[failureReason(record)]++
	})
	if err := <-injectErr; err != nil {
		return err
	}
	for _, method := range []struct {
		name  string
		stats *callStats
	}{{"GET", gets}, {"keyed POST", posts}} {
		o := outcomes[method.stats]
		results.addRow(name, method.name, method.stats.offered, method.stats.answered, o["not_run"], o["unknown"], o["none"],
			method.stats.latency.percentileMs(50), method.stats.latency.percentileMs(99), method.stats.topFailureReasons())
	}
	return m.WaitReady(ctx)
}

// callOutcome returns the outcome that the answer states, or "none" without a complete answer.
func callOutcome(r baobabemulator.CallerRecord) string {
	if r.Outcome == "" || r.Err != nil {
		return "none"
	}
	return r.Outcome
}

// nextUpNode returns the first node that is up, counted from index i and around; nil if all are down.
func (m *lossMesh) nextUpNode(i int) *baobabemulator.MeshNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes := m.Nodes()
	for k := range nodes {
		if n := nodes[(i+k)%len(nodes)]; !m.down[n] {
			return n
		}
	}
	return nil
}

func (m *lossMesh) setDown(down bool, nodes ...*baobabemulator.MeshNode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range nodes {
		m.down[n] = down
	}
}

// killAndRestart kills VMs (each a node and its upstream), starts them again after the given downtime, and waits
// until they are ready.
func (m *lossMesh) killAndRestart(
	ctx context.Context, downtime time.Duration, nodes ...*baobabemulator.MeshNode,
) error {
	m.setDown(true, nodes...)
	for _, n := range nodes {
		n.NodeProcess().Kill()
		n.UpstreamProcess().Kill()
	}
	if err := pause(ctx, downtime); err != nil {
		return err
	}
	for _, n := range nodes {
		if err := n.NodeProcess().Start(); err != nil {
			return err
		}
		if err := n.UpstreamProcess().Start(); err != nil {
			return err
		}
	}
	if err := m.WaitReady(ctx, nodes...); err != nil {
		return err
	}
	m.setDown(false, nodes...)
	return nil
}

// killVMs kills random VMs at a fixed interval over the phase and waits until all are ready again.
func (c *lossCmd) killVMs(ctx context.Context, m *lossMesh, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 3))
	interval := c.Phase / time.Duration(c.Kills+1)
	errs := make(chan error, c.Kills)
	for range c.Kills {
		n := m.Nodes()[random.IntN(len(m.Nodes()))]
		if m.isDown(n) {
			n = m.nextUpNode(random.IntN(len(m.Nodes())))
		}
		go func() { errs <- m.killAndRestart(ctx, vmDowntime, n) }()
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
	for range c.Kills {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func (m *lossMesh) isDown(n *baobabemulator.MeshNode) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down[n]
}

func (c *lossCmd) killDomain(ctx context.Context, m *lossMesh) error {
	return m.killAndRestart(ctx, c.Phase/2, m.NodesInDomain(2)...)
}

// cutDomain cuts a failure domain off from the others for three quarters of the phase. Callers continue to use its
// entries, which serve them with the upstreams inside the domain.
func (c *lossCmd) cutDomain(ctx context.Context, m *lossMesh) error {
	m.Partition(3)
	if err := pause(ctx, c.Phase*3/4); err != nil {
		return err
	}
	m.Heal(3)
	return nil
}

func (c *lossCmd) takePlatformDown(ctx context.Context, m *lossMesh) error {
	if err := m.SetPlatformFaults(ctx, `{"down": true}`); err != nil {
		return err
	}
	if err := pause(ctx, c.Phase*3/4); err != nil {
		return err
	}
	return m.SetPlatformFaults(ctx, `{"down": false}`)
}
