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

// latencyCmd compares the latency of direct calls to an upstream with that of calls through an ingress and the
// admitting node. The sides run in turn with identical arrival times, so that noise of the machine and of the load
// generator affects both alike.
type latencyCmd struct {
	Rounds    int           `arg:"--rounds" default:"5" help:"pairs of runs at each load"`
	Time      time.Duration `arg:"--time" default:"6s" help:"length of a run"`
	Slots     int           `arg:"--slots" default:"6" help:"slots of the upstream"`
	ServiceMs int           `arg:"--service-ms" default:"4" help:"service time in milliseconds"`
	Loads     []int         `arg:"--loads" help:"loads in percent of the slots [default: 30 70]"`
}

// A latencySide is one of the request paths that are compared.
type latencySide struct {
	name string
	url  string       // Base URL to which calls are sent.
	mesh *runningMesh // Nil for direct calls.
}

// A latencyRun is the result of one run of one side.
type latencyRun struct {
	latency       *histogram // From the scheduled time; includes failed calls.
	failed        int64
	processorTime time.Duration // Used by all node processes during the run; 0 for direct calls.
	calls         int
}

func (c *latencyCmd) run(ctx context.Context, b *bench) error {
	if len(c.Loads) == 0 {
		c.Loads = []int{30, 70}
	}
	m, err := c.startMesh(ctx, b, b.binaries)
	if err != nil {
		return err
	}
	defer m.Close()
	sides := []latencySide{
		{name: "direct", url: m.NodesOfService("target")[0].UpstreamURL()},
		{name: "mesh", url: m.NodesOfService("entry")[0].EntryURL(), mesh: m},
	}
	if b.baseline != nil {
		other, err := c.startMesh(ctx, b, *b.baseline)
		if err != nil {
			return err
		}
		defer other.Close()
		sides = append(sides, latencySide{name: "mesh before", url: other.NodesOfService("entry")[0].EntryURL(), mesh: other})
	}
	// A warm-up run of each side opens connections and lets the concurrency limit settle.
	for _, s := range sides {
		if _, err := c.runSide(ctx, s, c.schedule(b.seed, c.Loads[len(c.Loads)-1])); err != nil {
			return err
		}
	}
	latencies := b.report.addTable("Latency from the scheduled start, ms; added is mesh minus direct of the same arrivals",
		"load %", "side", "quantile", "direct", "mesh", "added: median", "lowest", "highest")
	costs := b.report.addTable("Processor time of both nodes, and failures", "load %", "side", "calls", "failed",
		"CPU us/call", "lowest", "highest", "calls/s per core")
	addedByRound := b.report.addFigure("Added latency by round", "round", "ms")
	for _, load := range c.Loads {
		if err := c.compareAtLoad(ctx, b, sides, load, latencies, costs, addedByRound); err != nil {
			return err
		}
	}
	return nil
}

// startMesh starts a mesh of two nodes: the ingress and the node that admits calls to the upstream.
func (c *latencyCmd) startMesh(ctx context.Context, b *bench, binaries baobabemulator.Binaries) (*runningMesh, error) {
	serviceTime := time.Duration(c.ServiceMs) * time.Millisecond
	spec := baobabemulator.NewMeshSpec(1, []baobabemulator.MeshService{
		baobabemulator.NewMeshService("entry", 1, c.Slots, 130, serviceTime),
		baobabemulator.NewMeshService("target", 1, c.Slots, 130, serviceTime),
	}, baobabemulator.WithMeshSeed(b.seed))
	return b.startMesh(ctx, binaries, spec, serviceResources([]string{"entry", "target"}))
}

// schedule returns arrival times for a load in percent of the calls that the slots can run.
func (c *latencyCmd) schedule(seed uint64, load int) []time.Duration {
	rate := float64(c.Slots) * 1000 / float64(c.ServiceMs) * float64(load) / 100
	return poissonSchedule(rand.New(rand.NewPCG(seed, uint64(load))), rate, c.Time)
}

// compareAtLoad runs all sides in turn at one load and adds their rows to the tables.
func (c *latencyCmd) compareAtLoad(
	ctx context.Context, b *bench, sides []latencySide, load int, latencies, costs *table, addedByRound *figure,
) error {
	runs := make([][]latencyRun, len(sides))
	for round := range c.Rounds {
		schedule := c.schedule(b.seed+uint64(round), load)
		for i := range sides {
			side := (i + round) % len(sides) // The order rotates, so that drift favours no side.
			r, err := c.runSide(ctx, sides[side], schedule)
			if err != nil {
				return err
			}
			runs[side] = append(runs[side], r)
		}
	}
	for i, s := range sides {
		if s.mesh != nil {
			addLatencyRows(load, s.name, runs[0], runs[i], latencies, addedByRound)
		}
		addProcessorTimeRow(load, s, runs[i], costs)
	}
	return nil
}

// addLatencyRows adds a row for each percentile, and the latency added in each round to the figure. Runs of the same
// index had the same arrival times.
func addLatencyRows(load int, name string, directs, meshes []latencyRun, latencies *table, addedByRound *figure) {
	for _, q := range []float64{50, 99, 99.9} {
		var direct, mesh, added []float64
		for i := range directs {
			d, m := directs[i].latency.percentileMs(q), meshes[i].latency.percentileMs(q)
			direct, mesh, added = append(direct, d), append(mesh, m), append(added, m-d)
			if q != 99.9 {
				addedByRound.addPoint(fmt.Sprintf("%s, p%v at %d %%", name, q, load), float64(i+1), m-d)
			}
		}
		d, _, _ := medianAndRange(direct)
		m, _, _ := medianAndRange(mesh)
		median, low, high := medianAndRange(added)
		latencies.addRow(load, name, fmt.Sprintf("p%v", q), d, m, median, low, high)
	}
}

// addProcessorTimeRow adds a row with the calls of a side and the processor time that its nodes used for each.
func addProcessorTimeRow(load int, s latencySide, runs []latencyRun, costs *table) {
	var perCall []float64
	var calls int
	var failed int64
	for _, r := range runs {
		perCall = append(perCall, float64(r.processorTime.Microseconds())/float64(r.calls))
		calls += r.calls
		failed += r.failed
	}
	median, low, high := medianAndRange(perCall)
	if s.mesh == nil {
		costs.addRow(load, s.name, calls, failed, "", "", "", "")
		return
	}
	costs.addRow(load, s.name, calls, failed, median, low, high, 1e6/median)
}

// runSide sends calls to one side at the scheduled times and measures them.
func (c *latencyCmd) runSide(ctx context.Context, s latencySide, schedule []time.Duration) (latencyRun, error) {
	const connections = 512
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("%s/target/x?delay_ms=%d", s.url, c.ServiceMs)
	// Connections are opened before the run, so that latencies contain no handshakes.
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
	r.processorTime = after - before
	return r, err
}

// processorTime returns the processor time that the nodes of the side have used so far; 0 for direct calls.
func (s latencySide) processorTime() (time.Duration, error) {
	if s.mesh == nil {
		return 0, nil
	}
	return totalProcessorTime(s.mesh.Nodes())
}

// get sends a GET request and reads the whole answer. A status other than 200 is an error.
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
