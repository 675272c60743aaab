package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// controlCmd measures the cost of the control plane per node without calls: idle, while nodes restart, and while
// changes are accepted, for several numbers of nodes.
type controlCmd struct {
	Nodes   []int         `arg:"--nodes" help:"numbers of nodes [default: 13 30 60 120 240]"`
	Time    time.Duration `arg:"--time" default:"15s" help:"length of each phase"`
	Settle  time.Duration `arg:"--settle" default:"5s" help:"time after the start that is not measured"`
	Churn   time.Duration `arg:"--churn" default:"1s" help:"time between restarts in the phase with churn"`
	Changes time.Duration `arg:"--changes" default:"1s" help:"time between accepted changes in the phase with changes"`
}

// A controlSample is the state of the nodes at one time.
type controlSample struct {
	at      time.Time
	metrics []nodeMetrics
	cpu     []time.Duration
	pids    []int
}

// A controlCost is the mean cost of a node in a phase.
type controlCost struct {
	seconds                 float64
	same, other             float64 // Bytes sent and received per second on links.
	messages                float64 // Share of these bytes that are frames of control messages.
	cpuPercent              float64
	residentMB, residentMax float64
	links                   float64 // Dialled and accepted links that are open.
	nodes                   int     // That ran without a restart.
}

func (c *controlCmd) run(ctx context.Context, b *bench) error {
	if len(c.Nodes) == 0 {
		c.Nodes = []int{13, 30, 60, 120, 240}
	}
	t := b.report.table("Cost per node; bytes sent and received on links", "nodes", "program", "phase", "load", "same domain B/s", "other domain B/s",
		"messages %", "CPU % of a core", "resident MB", "largest MB", "open links", "events")
	f := b.report.figure("Bytes per node and second", "nodes", "B/s")
	for _, n := range c.Nodes {
		if err := c.measure(ctx, b, "this", b.binaries, n, t, f); err != nil {
			return err
		}
		if b.before == nil {
			continue
		}
		if err := c.measure(ctx, b, "before", *b.before, n, t, f); err != nil {
			return err
		}
	}
	return nil
}

func (c *controlCmd) measure(ctx context.Context, b *bench, name string, binaries baobabemulator.Binaries, nodes int, t *table, f *figure) error {
	m, err := b.startFleet(ctx, binaries, nodes)
	if err != nil {
		return err
	}
	defer m.Close()
	if err := pause(ctx, c.Settle); err != nil {
		return err
	}
	for _, p := range []struct {
		phase string
		act   func() (int, error)
	}{
		{"idle", func() (int, error) { return 0, pause(ctx, c.Time) }},
		{"changes", func() (int, error) { return c.accept(ctx, m) }},
		{"churn", func() (int, error) {
			churn := startChurn(ctx, m, c.Churn, b.seed)
			err := pause(ctx, c.Time)
			return churn.close(), err
		}},
	} {
		before := sample(ctx, m)
		events, err := p.act()
		if err != nil {
			return err
		}
		v := costOf(before, sample(ctx, m))
		t.add(nodes, name, p.phase, loadAverage(), v.same, v.other, v.messages, v.cpuPercent, v.residentMB, v.residentMax, v.links, events)
		f.add(fmt.Sprintf("%s, %s", p.phase, name), float64(nodes), v.same+v.other)
	}
	return nil
}

func (c *controlCmd) accept(ctx context.Context, m *meshRun) (int, error) {
	begin, count := time.Now(), 0
	for time.Since(begin) < c.Time {
		next := begin.Add(time.Duration(count+1) * c.Changes)
		if _, err := m.change(ctx, m.Nodes()[count%len(m.Nodes())], count); err != nil {
			return count, err
		}
		count++
		if err := pause(ctx, time.Until(next)); err != nil {
			return count, err
		}
	}
	return count, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	case <-time.After(d):
		return nil
	}
}

func sample(ctx context.Context, m *meshRun) controlSample {
	s := controlSample{at: time.Now(), metrics: readAllMetrics(ctx, m.Nodes())}
	for _, n := range m.Nodes() {
		u, err := n.NodeProcess().Usage()
		pid := n.NodeProcess().PID()
		if err != nil {
			pid = 0
		}
		s.pids = append(s.pids, pid)
		s.cpu = append(s.cpu, u.ProcessorTime())
	}
	return s
}

// costOf returns the mean cost of the nodes whose process ran all the time.
func costOf(before, after controlSample) controlCost {
	c := controlCost{seconds: after.at.Sub(before.at).Seconds()}
	link, frames := 0.0, 0.0
	for i := range after.pids {
		x, y := before.metrics[i], after.metrics[i]
		if x == nil || y == nil || after.pids[i] == 0 || before.pids[i] != after.pids[i] {
			continue
		}
		grown := func(parts ...string) float64 { return y.sum(parts...) - x.sum(parts...) }
		c.nodes++
		c.same += grown("baobab_peer_link_bytes_total", `domain="same"`)
		c.other += grown("baobab_peer_link_bytes_total", `domain="other"`)
		link += grown("baobab_peer_link_bytes_total")
		frames += grown("baobab_peer_stream_bytes_total", `class="control"`)
		c.cpuPercent += 100 * (after.cpu[i] - before.cpu[i]).Seconds()
		resident := y["process_resident_memory_bytes"] / 1e6
		c.residentMB += resident
		c.residentMax = max(c.residentMax, resident)
		c.links += y.sum("baobab_peer_links_open{")
	}
	n := max(float64(c.nodes), 1)
	c.same, c.other, c.cpuPercent = c.same/n/c.seconds, c.other/n/c.seconds, c.cpuPercent/n/c.seconds
	c.residentMB, c.links = c.residentMB/n, c.links/n
	if link > 0 {
		c.messages = 100 * frames / link
	}
	return c
}
