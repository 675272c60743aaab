package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// convergenceCmd measures the time from the sending of an accept request until the version is in force on all nodes. It
// takes the time at which a version came into force from the metrics of the node; all processes run on one machine and
// share its clock.
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
	// convergenceTimeout bounds the wait for a change to be in force; nodes without it then count as missed.
	convergenceTimeout = 20 * time.Second
	// metricsPollInterval is the pause between scrapes of the nodes that do not have a version in force yet.
	metricsPollInterval = 100 * time.Millisecond
	// joinAllowance is the time after its restart in which a node does not count, because it must first join the mesh and
	// load the configuration.
	joinAllowance = 5 * time.Second
)

func (c *convergenceCmd) run(ctx context.Context, b *bench) error {
	if len(c.Nodes) == 0 {
		c.Nodes = []int{13, 30, 60, 120}
	}
	times := b.report.addTable("Time from the sending of an accept to in force, ms; the last node of each change, and all nodes",
		"nodes", "changes", "restarts", "load", "accept p50", "accept max",
		"last p50", "last p99", "last max", "all p50", "all p99", "missed")
	slowestFigure := b.report.addFigure("Time until the last node", "nodes", "ms")
	for _, n := range c.Nodes {
		if err := c.measureMesh(ctx, b, n, times, slowestFigure); err != nil {
			return err
		}
	}
	return nil
}

// measureMesh starts a mesh of the given number of nodes, accepts the changes one after the other and adds a row.
func (c *convergenceCmd) measureMesh(
	ctx context.Context, b *bench, nodes int, times *table, slowestFigure *figure,
) error {
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
	interval := c.Churn
	if interval <= 0 {
		interval = time.Duration(1<<62) - 1
	}
	restarter := startNodeRestarter(ctx, m, interval, b.seed)
	random := rand.New(rand.NewPCG(b.seed, 3))
	acceptTimes, lastTimes, allTimes := newHistogram(), newHistogram(), newHistogram()
	missed := 0
	for i := range c.Changes {
		at := m.Nodes()[random.IntN(len(m.Nodes()))]
		for !restarter.upSince(at, time.Now().Add(-joinAllowance)) {
			at = m.Nodes()[random.IntN(len(m.Nodes()))]
		}
		change, err := m.acceptLabelChange(ctx, at, i)
		if err != nil {
			restarter.close()
			return err
		}
		acceptTimes.record(change.answeredAt.Sub(change.sentAt))
		slowestNode, missing := c.awaitInForce(ctx, m, restarter, change, allTimes)
		lastTimes.record(slowestNode)
		missed += missing
		select {
		case <-ctx.Done():
			restarter.close()
			return errors.Wrap(ctx.Err(), "convergence")
		case <-time.After(c.Pause):
		}
	}
	times.addRow(nodes, c.Changes, restarter.close(), loadAverage(), acceptTimes.percentileMs(50),
		acceptTimes.percentileMs(100), lastTimes.percentileMs(50), lastTimes.percentileMs(99), lastTimes.percentileMs(100),
		allTimes.percentileMs(50), allTimes.percentileMs(99), missed)
	slowestFigure.addPoint("p50", float64(nodes), lastTimes.percentileMs(50))
	slowestFigure.addPoint("max", float64(nodes), lastTimes.percentileMs(100))
	return nil
}

// awaitInForce waits until the version is in force on all nodes that have not restarted lately, and records their times
// in allTimes. It returns the time of the slowest, and the number of nodes without the version after
// convergenceTimeout.
func (c *convergenceCmd) awaitInForce(
	ctx context.Context, m *runningMesh, restarter *nodeRestarter, change acceptedChange, allTimes *histogram,
) (time.Duration, int) {
	const (
		number = "baobab_configuration_number"
		since  = "baobab_configuration_in_force_timestamp_seconds"
	)
	var waiting []*baobabemulator.MeshNode
	for _, n := range m.Nodes() {
		if restarter.upSince(n, change.sentAt.Add(-joinAllowance)) {
			waiting = append(waiting, n)
		}
	}
	var slowest time.Duration
	for len(waiting) > 0 && time.Since(change.sentAt) < convergenceTimeout && ctx.Err() == nil {
		time.Sleep(metricsPollInterval)
		var stillWaiting []*baobabemulator.MeshNode
		for i, values := range readAllMetrics(ctx, waiting) {
			n := waiting[i]
			switch {
			case !restarter.upSince(n, change.sentAt):
			case values == nil || values[number] < float64(change.versionNumber):
				stillWaiting = append(stillWaiting, n)
			default:
				d := time.Duration((values[since] - float64(change.sentAt.UnixNano())/1e9) * float64(time.Second))
				allTimes.record(d)
				slowest = max(slowest, d)
			}
		}
		waiting = stillWaiting
	}
	return slowest, len(waiting)
}
