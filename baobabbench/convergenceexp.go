package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// convergenceCmd measures the time from the sending of an accept until the version is in force at the last node. Each
// node says in its metrics when its version came into force; all processes share the machine's clock.
type convergenceCmd struct {
	Nodes   []int         `arg:"--nodes" help:"numbers of nodes [default: 13 30 60 120]"`
	Changes int           `arg:"--changes" default:"30" help:"accepted changes for each number of nodes"`
	Pause   time.Duration `arg:"--pause" default:"500ms" help:"pause between changes"`
	Churn   time.Duration `arg:"--churn" default:"3s" help:"time between restarts of nodes; 0 for none"`
	Delay   time.Duration `arg:"--delay" default:"4ms" help:"one-way delay between failure domains"`
	Jitter  time.Duration `arg:"--jitter" default:"2ms" help:"largest additional delay"`
	Stall   float64       `arg:"--stall" default:"0.02" help:"share of chunks between failure domains that are held"`
	Hold    time.Duration `arg:"--hold" default:"200ms" help:"time for which a chunk is held"`
}

const (
	// convergenceLimit ends the wait for a change.
	convergenceLimit = 20 * time.Second
	// metricsPause is the pause between reads of the metrics of nodes that do not have a version yet.
	metricsPause = 100 * time.Millisecond
	// joinTime is left to a restarted node before it counts; it must join and load the configuration first.
	joinTime = 5 * time.Second
)

func (c *convergenceCmd) run(ctx context.Context, b *bench) error {
	if len(c.Nodes) == 0 {
		c.Nodes = []int{13, 30, 60, 120}
	}
	t := b.report.table("Time from the sending of an accept to in force, ms; the last node of each change, and all nodes",
		"nodes", "changes", "restarts", "load", "accept p50", "accept max", "last p50", "last p99", "last max", "all p50", "all p99", "missed")
	f := b.report.figure("Time until the last node", "nodes", "ms")
	for _, n := range c.Nodes {
		if err := c.measure(ctx, b, n, t, f); err != nil {
			return err
		}
	}
	return nil
}

func (c *convergenceCmd) measure(ctx context.Context, b *bench, nodes int, t *table, f *figure) error {
	m, err := b.startFleet(ctx, b.binaries, nodes, baobabemulator.WithMeshDelay(c.Delay, c.Jitter))
	if err != nil {
		return err
	}
	defer m.Close()
	for _, n := range m.Nodes() {
		for _, other := range []string{"fd1", "fd2", "fd3"} {
			if other != n.FailureDomain() {
				n.PeerProxy().From(other).Stall(c.Stall, c.Hold)
			}
		}
	}
	every := c.Churn
	if every <= 0 {
		every = time.Duration(1<<62) - 1
	}
	churn := startChurn(ctx, m, every, b.seed)
	random := rand.New(rand.NewPCG(b.seed, 3))
	accept, last, all := newHistogram(), newHistogram(), newHistogram()
	missed := 0
	for i := range c.Changes {
		at := m.Nodes()[random.IntN(len(m.Nodes()))]
		for !churn.steady(at, time.Now().Add(-joinTime)) {
			at = m.Nodes()[random.IntN(len(m.Nodes()))]
		}
		v, err := m.change(ctx, at, i)
		if err != nil {
			churn.close()
			return err
		}
		accept.record(v.answered.Sub(v.began))
		slowest, late := c.await(ctx, m, churn, v, all)
		last.record(slowest)
		missed += late
		select {
		case <-ctx.Done():
			churn.close()
			return errors.Wrap(ctx.Err(), "convergence")
		case <-time.After(c.Pause):
		}
	}
	t.add(nodes, c.Changes, churn.close(), loadAverage(), accept.ms(50), accept.ms(100), last.ms(50), last.ms(99), last.ms(100),
		all.ms(50), all.ms(99), missed)
	f.add("p50", float64(nodes), last.ms(50))
	f.add("max", float64(nodes), last.ms(100))
	return nil
}

// await waits until the version is in force at all nodes that have run without a restart, and returns the time of the
// slowest and how many nodes do not have it within the limit.
func (c *convergenceCmd) await(ctx context.Context, m *meshRun, churn *churn, v change, all *histogram) (time.Duration, int) {
	const (
		number = "baobab_configuration_number"
		since  = "baobab_configuration_in_force_timestamp_seconds"
	)
	var waiting []*baobabemulator.MeshNode
	for _, n := range m.Nodes() {
		if churn.steady(n, v.began.Add(-joinTime)) {
			waiting = append(waiting, n)
		}
	}
	var slowest time.Duration
	for len(waiting) > 0 && time.Since(v.began) < convergenceLimit && ctx.Err() == nil {
		time.Sleep(metricsPause)
		var rest []*baobabemulator.MeshNode
		for i, values := range readAllMetrics(ctx, waiting) {
			n := waiting[i]
			switch {
			case !churn.steady(n, v.began):
			case values == nil || values[number] < float64(v.number):
				rest = append(rest, n)
			default:
				d := time.Duration((values[since] - float64(v.began.UnixNano())/1e9) * float64(time.Second))
				all.record(d)
				slowest = max(slowest, d)
			}
		}
		waiting = rest
	}
	return slowest, len(waiting)
}
