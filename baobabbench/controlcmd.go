package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// controlCmd measures the cost of the control plane per node, without calls, for several mesh sizes. Its phases are an
// idle mesh, configuration changes, and node restarts.
type controlCmd struct {
	Nodes   []int         `arg:"--nodes" help:"numbers of nodes [default: 13 30 60 120 240]"`
	Time    time.Duration `arg:"--time" default:"15s" help:"length of each phase"`
	Settle  time.Duration `arg:"--settle" default:"5s" help:"time after the start that is not measured"`
	Churn   time.Duration `arg:"--churn" default:"1s" help:"time between restarts in the phase with churn"`
	Changes time.Duration `arg:"--changes" default:"1s" help:"time between accepted changes in the phase with changes"`
}

// nodeSamples are readings of all nodes at one time; the slices are in the order of the nodes.
type nodeSamples struct {
	at             time.Time
	metrics        []nodeMetrics // Nil for a node that did not answer.
	processorTimes []time.Duration
	pids           []int // 0 for a node whose process could not be read.
}

// A nodeCost is the mean cost of a node over a phase.
type nodeCost struct {
	seconds                         float64 // Length of the phase.
	sameDomainRate, otherDomainRate float64 // Bytes sent and received on peer links per second.
	messagePercent                  float64 // Share of link bytes that are frames of control messages.
	cpuPercent                      float64 // Of one core.
	residentMB, maxResidentMB       float64 // Mean and largest resident memory at the end of the phase.
	openLinks                       float64 // Dialled and accepted links that are open at the end of the phase.
	nodeCount                       int     // Nodes that count: those that did not restart.
}

func (c *controlCmd) run(ctx context.Context, b *bench) error {
	if len(c.Nodes) == 0 {
		c.Nodes = []int{13, 30, 60, 120, 240}
	}
	costs := b.report.addTable("Cost per node; bytes sent and received on links",
		"nodes", "program", "phase", "load", "same domain B/s", "other domain B/s", "messages %",
		"CPU % of a core", "resident MB", "largest MB", "open links", "events")
	bytes := b.report.addFigure("Bytes per node and second", "nodes", "B/s")
	for _, n := range c.Nodes {
		if err := c.measureMesh(ctx, b, "this", b.binaries, n, costs, bytes); err != nil {
			return err
		}
		if b.baseline == nil {
			continue
		}
		if err := c.measureMesh(ctx, b, "before", *b.baseline, n, costs, bytes); err != nil {
			return err
		}
	}
	return nil
}

// measureMesh starts a mesh of the given number of nodes and measures all phases.
func (c *controlCmd) measureMesh(
	ctx context.Context, b *bench, program string, binaries baobabemulator.Binaries, nodes int,
	costs *table, bytes *figure,
) error {
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
		run   func() (int, error)
	}{
		{"idle", func() (int, error) { return 0, pause(ctx, c.Time) }},
		{"changes", func() (int, error) { return c.acceptChanges(ctx, m) }},
		{"churn", func() (int, error) {
			restarter := startNodeRestarter(ctx, m, c.Churn, b.seed)
			err := pause(ctx, c.Time)
			return restarter.close(), err
		}},
	} {
		before := sampleNodes(ctx, m)
		events, err := p.run()
		if err != nil {
			return err
		}
		cost := meanNodeCost(before, sampleNodes(ctx, m))
		costs.addRow(nodes, program, p.phase, loadAverage(), cost.sameDomainRate, cost.otherDomainRate,
			cost.messagePercent, cost.cpuPercent, cost.residentMB, cost.maxResidentMB, cost.openLinks, events)
		bytes.addPoint(fmt.Sprintf("%s, %s", p.phase, program), float64(nodes), cost.sameDomainRate+cost.otherDomainRate)
	}
	return nil
}

// acceptChanges accepts configuration changes at a fixed interval during the phase, through each node in turn, and
// returns their number.
func (c *controlCmd) acceptChanges(ctx context.Context, m *runningMesh) (int, error) {
	start, count := time.Now(), 0
	for time.Since(start) < c.Time {
		next := start.Add(time.Duration(count+1) * c.Changes)
		if _, err := m.acceptLabelChange(ctx, m.Nodes()[count%len(m.Nodes())], count); err != nil {
			return count, err
		}
		count++
		if err := pause(ctx, time.Until(next)); err != nil {
			return count, err
		}
	}
	return count, nil
}

// pause sleeps for d; it returns an error at once when ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	case <-time.After(d):
		return nil
	}
}

// sampleNodes reads the metrics and the processor time of all nodes.
func sampleNodes(ctx context.Context, m *runningMesh) nodeSamples {
	s := nodeSamples{at: time.Now(), metrics: readAllMetrics(ctx, m.Nodes())}
	for _, n := range m.Nodes() {
		u, err := n.NodeProcess().Usage()
		pid := n.NodeProcess().PID()
		if err != nil {
			pid = 0
		}
		s.pids = append(s.pids, pid)
		s.processorTimes = append(s.processorTimes, u.ProcessorTime())
	}
	return s
}

// meanNodeCost returns the mean cost of the nodes whose process is the same in both samples.
func meanNodeCost(before, after nodeSamples) nodeCost {
	c := nodeCost{seconds: after.at.Sub(before.at).Seconds()}
	linkBytes, messageBytes := 0.0, 0.0
	for i := range after.pids {
		first, last := before.metrics[i], after.metrics[i]
		if first == nil || last == nil || after.pids[i] == 0 || before.pids[i] != after.pids[i] {
			continue
		}
		increase := func(parts ...string) float64 { return last.sum(parts...) - first.sum(parts...) }
		c.nodeCount++
		c.sameDomainRate += increase("baobab_peer_link_bytes_total", `domain="same"`)
		c.otherDomainRate += increase("baobab_peer_link_bytes_total", `domain="other"`)
		linkBytes += increase("baobab_peer_link_bytes_total")
		messageBytes += increase("baobab_peer_stream_bytes_total", `class="control"`)
		c.cpuPercent += 100 * (after.processorTimes[i] - before.processorTimes[i]).Seconds()
		resident := last["process_resident_memory_bytes"] / 1e6
		c.residentMB += resident
		c.maxResidentMB = max(c.maxResidentMB, resident)
		c.openLinks += last.sum("baobab_peer_links_open{")
	}
	n := max(float64(c.nodeCount), 1)
	c.sameDomainRate, c.otherDomainRate, c.cpuPercent =
		c.sameDomainRate/n/c.seconds, c.otherDomainRate/n/c.seconds, c.cpuPercent/n/c.seconds
	c.residentMB, c.openLinks = c.residentMB/n, c.openLinks/n
	if linkBytes > 0 {
		c.messagePercent = 100 * messageBytes / linkBytes
	}
	return c
}
