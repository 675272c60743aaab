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

// lossCmd measures what callers get while VMs, a failure domain and the platform are lost: answers that are wrong,
// doubled or lost must not occur, others are counted.
type lossCmd struct {
	Rate  float64       `arg:"--rate" default:"200" help:"calls per second, a quarter of them keyed orders"`
	Kills int           `arg:"--kills" default:"16" help:"VMs killed one after the other; each is back after 2 s"`
	Phase time.Duration `arg:"--phase" default:"20s" help:"length of each phase"`
}

// vmReturn is the time after which a killed VM is started again.
const vmReturn = 2 * time.Second

// A lossMesh is a mesh whose VMs come and go; callers use only entries that they believe to be up.
type lossMesh struct {
	*meshRun
	mu   sync.Mutex
	down map[*baobabemulator.MeshNode]bool // Guarded by mu.
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
	m := &lossMesh{meshRun: run, down: map[*baobabemulator.MeshNode]bool{}}
	caller := baobabemulator.NewCaller("loss")
	defer caller.Close()
	t := b.report.table("What callers got", "phase", "method", "calls", "answered", "refused, not run", "unknown", "no answer",
		"p50 ms", "p99 ms", "reasons")
	for i, p := range []struct {
		name string
		act  func(context.Context) error
	}{
		{"no loss", func(context.Context) error { return nil }},
		{fmt.Sprintf("%d VMs killed", c.Kills), func(ctx context.Context) error { return c.killVMs(ctx, m, b.seed) }},
		{"a failure domain killed", func(ctx context.Context) error { return c.killDomain(ctx, m) }},
		{"a failure domain cut off", func(ctx context.Context) error { return c.cutDomain(ctx, m) }},
		{"platform down", func(ctx context.Context) error { return c.platformDown(ctx, m) }},
	} {
		if err := c.phase(ctx, b, m, caller, i, p.name, p.act, t); err != nil {
			return err
		}
	}
	runs, err := m.Runs()
	if err != nil {
		return err
	}
	records := caller.Records()
	list := baobabemulator.Violations(records, runs)
	for _, text := range list[:min(5, len(list))] {
		fmt.Println("violation:", text)
	}
	b.report.table("Contradictions between callers and upstreams", "calls", "runs", "violations").add(len(records), len(runs), len(list))
	return nil
}

// phase sends calls at a steady rate while a loss happens.
func (c *lossCmd) phase(ctx context.Context, b *bench, m *lossMesh, caller *baobabemulator.Caller, number int, name string, act func(context.Context) error, t *table) error {
	random := rand.New(rand.NewPCG(b.seed, uint64(number)))
	schedule := poisson(random, c.Rate, c.Phase)
	gets := &floodTally{latency: newHistogram(), reasons: map[string]int{}}
	posts := &floodTally{latency: newHistogram(), reasons: map[string]int{}}
	outcomes := map[*floodTally]map[string]int{gets: {}, posts: {}}
	var mu sync.Mutex
	failed := make(chan error, 1)
	go func() { failed <- act(ctx) }()
	openLoop(ctx, schedule, func(i int, scheduled time.Time) {
		entry := m.entry(i)
		if entry == nil {
			return
		}
		r := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/availability"}
		tally := gets
		if i%4 == 0 {
			r = baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: fmt.Sprintf("loss-%d-%d", number, i), Caller: "club"}
			tally = posts
		}
		record := caller.Do(ctx, entry.EntryURL(), r)
		mu.Lock()
		defer mu.Unlock()
		tally.offered++
		outcomes[tally][lossOutcome(record)]++
		if record.Answered() {
			tally.answered++
			tally.latency.record(record.End.Sub(scheduled))
			return
		}
		tally.reasons[floodReason(record)]++
	})
	if err := <-failed; err != nil {
		return err
	}
	for _, v := range []struct {
		method string
		tally  *floodTally
	}{{"GET", gets}, {"keyed POST", posts}} {
		o := outcomes[v.tally]
		t.add(name, v.method, v.tally.offered, v.tally.answered, o["not_run"], o["unknown"], o["none"], v.tally.latency.ms(50),
			v.tally.latency.ms(99), v.tally.reasonList())
	}
	return m.WaitReady(ctx)
}

func lossOutcome(r baobabemulator.CallerRecord) string {
	if r.Outcome == "" || r.Err != nil {
		return "none"
	}
	return r.Outcome
}

// entry returns a node that is up, or nil.
func (m *lossMesh) entry(i int) *baobabemulator.MeshNode {
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

func (m *lossMesh) set(down bool, nodes ...*baobabemulator.MeshNode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range nodes {
		m.down[n] = down
	}
}

// kill kills VMs, and starts them again after a time.
func (m *lossMesh) kill(ctx context.Context, after time.Duration, nodes ...*baobabemulator.MeshNode) error {
	m.set(true, nodes...)
	for _, n := range nodes {
		n.NodeProcess().Kill()
		n.UpstreamProcess().Kill()
	}
	if err := pause(ctx, after); err != nil {
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
	m.set(false, nodes...)
	return nil
}

func (c *lossCmd) killVMs(ctx context.Context, m *lossMesh, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 3))
	every := c.Phase / time.Duration(c.Kills+1)
	errs := make(chan error, c.Kills)
	for range c.Kills {
		n := m.Nodes()[random.IntN(len(m.Nodes()))]
		if m.isDown(n) {
			n = m.entry(random.IntN(len(m.Nodes())))
		}
		go func() { errs <- m.kill(ctx, vmReturn, n) }()
		if err := pause(ctx, every); err != nil {
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
	return m.kill(ctx, c.Phase/2, m.NodesInDomain(2)...)
}

// cutDomain leaves callers inside the failure domain; they are served with what it has.
func (c *lossCmd) cutDomain(ctx context.Context, m *lossMesh) error {
	m.Partition(3)
	if err := pause(ctx, c.Phase*3/4); err != nil {
		return err
	}
	m.Heal(3)
	return nil
}

func (c *lossCmd) platformDown(ctx context.Context, m *lossMesh) error {
	if err := m.SetPlatformFaults(ctx, `{"down": true}`); err != nil {
		return err
	}
	if err := pause(ctx, c.Phase*3/4); err != nil {
		return err
	}
	return m.SetPlatformFaults(ctx, `{"down": false}`)
}
