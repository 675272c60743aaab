package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// latencyCmd compares calls to an upstream directly with calls through an ingress and the admitting node. Both sides
// get identical arrivals in turns, so that the noise of the machine and of the load generator is the same for both.
type latencyCmd struct {
	Rounds  int           `arg:"--rounds" default:"5" help:"pairs of runs at each load"`
	Time    time.Duration `arg:"--time" default:"6s" help:"length of a run"`
	Slots   int           `arg:"--slots" default:"6" help:"slots of the upstream"`
	Service int           `arg:"--service-ms" default:"4" help:"service time in milliseconds"`
	Loads   []int         `arg:"--loads" help:"loads in percent of the slots [default: 30 70]"`
}

// A latencySide is one of the ways to the upstream.
type latencySide struct {
	name string
	url  string
	mesh *meshRun // Nil for the direct way.
}

// A latencyRun is the result of one run on one side.
type latencyRun struct {
	latency *histogram
	failed  int64
	cpu     time.Duration // Of the processes of all nodes.
	calls   int
}

func (c *latencyCmd) run(ctx context.Context, b *bench) error {
	if len(c.Loads) == 0 {
		c.Loads = []int{30, 70}
	}
	m, err := c.start(ctx, b, b.binaries)
	if err != nil {
		return err
	}
	defer m.Close()
	sides := []latencySide{
		{name: "direct", url: m.NodesOfService("target")[0].UpstreamURL()},
		{name: "mesh", url: m.NodesOfService("entry")[0].EntryURL(), mesh: m},
	}
	if b.before != nil {
		other, err := c.start(ctx, b, *b.before)
		if err != nil {
			return err
		}
		defer other.Close()
		sides = append(sides, latencySide{name: "mesh before", url: other.NodesOfService("entry")[0].EntryURL(), mesh: other})
	}
	// The first calls open connections and let the concurrency limit settle.
	for _, s := range sides {
		if _, err := c.measure(ctx, s, c.schedule(b.seed, c.Loads[len(c.Loads)-1])); err != nil {
			return err
		}
	}
	t := b.report.table("Latency from the scheduled start, ms; added is mesh minus direct of the same arrivals",
		"load %", "side", "quantile", "direct", "mesh", "added: median", "lowest", "highest")
	u := b.report.table("Processor time of both nodes, and failures", "load %", "side", "calls", "failed",
		"CPU us/call", "lowest", "highest", "calls/s per core")
	f := b.report.figure("Added latency by round", "round", "ms")
	for _, load := range c.Loads {
		if err := c.compare(ctx, b, sides, load, t, u, f); err != nil {
			return err
		}
	}
	return nil
}

func (c *latencyCmd) start(ctx context.Context, b *bench, binaries baobabemulator.Binaries) (*meshRun, error) {
	service := time.Duration(c.Service) * time.Millisecond
	spec := baobabemulator.NewMeshSpec(1, []baobabemulator.MeshService{
		baobabemulator.NewMeshService("entry", 1, c.Slots, 130, service),
		baobabemulator.NewMeshService("target", 1, c.Slots, 130, service),
	}, baobabemulator.WithMeshSeed(b.seed))
	return b.startMesh(ctx, binaries, spec, serviceResources([]string{"entry", "target"}))
}

func (c *latencyCmd) schedule(seed uint64, load int) []time.Duration {
	rate := float64(c.Slots) * 1000 / float64(c.Service) * float64(load) / 100
	return poisson(rand.New(rand.NewPCG(seed, uint64(load))), rate, c.Time)
}

// compare runs all sides in turns at one load and adds rows to the tables.
func (c *latencyCmd) compare(ctx context.Context, b *bench, sides []latencySide, load int, t, u *table, f *figure) error {
	runs := make([][]latencyRun, len(sides))
	for round := range c.Rounds {
		schedule := c.schedule(b.seed+uint64(round), load)
		for i := range sides {
			side := (i + round) % len(sides) // The first side changes, so that drift does not favour one.
			r, err := c.measure(ctx, sides[side], schedule)
			if err != nil {
				return err
			}
			runs[side] = append(runs[side], r)
		}
	}
	for i, s := range sides {
		if s.mesh != nil {
			addLatencies(load, s.name, runs[0], runs[i], t, f)
		}
		addProcessorTime(load, s, runs[i], u)
	}
	return nil
}

func addLatencies(load int, name string, directs, meshes []latencyRun, t *table, f *figure) {
	for _, q := range []float64{50, 99, 99.9} {
		var direct, mesh, added []float64
		for i := range directs {
			d, v := directs[i].latency.ms(q), meshes[i].latency.ms(q)
			direct, mesh, added = append(direct, d), append(mesh, v), append(added, v-d)
			if q != 99.9 {
				f.add(fmt.Sprintf("%s, p%v at %d %%", name, q, load), float64(i+1), v-d)
			}
		}
		d, _, _ := spread(direct)
		v, _, _ := spread(mesh)
		median, low, high := spread(added)
		t.add(load, name, fmt.Sprintf("p%v", q), d, v, median, low, high)
	}
}

func addProcessorTime(load int, s latencySide, runs []latencyRun, u *table) {
	var cpu []float64
	var calls int
	var failed int64
	for _, r := range runs {
		cpu = append(cpu, float64(r.cpu.Microseconds())/float64(r.calls))
		calls += r.calls
		failed += r.failed
	}
	median, low, high := spread(cpu)
	if s.mesh == nil {
		u.add(load, s.name, calls, failed, "", "", "", "")
		return
	}
	u.add(load, s.name, calls, failed, median, low, high, 1e6/median)
}

func (c *latencyCmd) measure(ctx context.Context, s latencySide, schedule []time.Duration) (latencyRun, error) {
	const connections = 512
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("%s/target/x?delay_ms=%d", s.url, c.Service)
	// Open connections before the run, so that it measures calls and not handshakes.
	openLoop(ctx, make([]time.Duration, 2*c.Slots), func(int, time.Time) { _ = get(ctx, client, url) })
	before, err := s.processorTime()
	if err != nil {
		return latencyRun{}, err
	}
	r := latencyRun{latency: newHistogram(), calls: len(schedule)}
	var failed atomic.Int64
	openLoop(ctx, schedule, func(_ int, scheduled time.Time) {
		if err := get(ctx, client, url); err != nil {
			failed.Add(1)
		}
		r.latency.record(time.Since(scheduled))
	})
	r.failed = failed.Load()
	after, err := s.processorTime()
	r.cpu = after - before
	return r, err
}

func (s latencySide) processorTime() (time.Duration, error) {
	if s.mesh == nil {
		return 0, nil
	}
	return processorTime(s.mesh.Nodes())
}

// get sends a request and reads the answer whole.
func get(ctx context.Context, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "get")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("get: status %d", response.StatusCode)
	}
	return nil
}
