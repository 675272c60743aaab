package baobabproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// A soakStepKind is a kind of fault or change in a soak.
type soakStepKind string

// Kinds of soak steps.
const (
	soakAccept          soakStepKind = "accept"
	soakCutDomain       soakStepKind = "cut_domain"
	soakDelayLinks      soakStepKind = "delay_links"
	soakDrainUpstream   soakStepKind = "drain_upstream"
	soakDropReplies     soakStepKind = "drop_replies"
	soakHalfOpen        soakStepKind = "half_open"
	soakKillNode        soakStepKind = "kill_node"
	soakKillUpstream    soakStepKind = "kill_upstream"
	soakPauseNode       soakStepKind = "pause_node"
	soakPauseUpstream   soakStepKind = "pause_upstream"
	soakPlatformDown    soakStepKind = "platform_down"
	soakPlatformRefuses soakStepKind = "platform_refuses"
	soakPlatformSlow    soakStepKind = "platform_slow"
	soakStallLinks      soakStepKind = "stall_links"
	soakStopNode        soakStepKind = "stop_node"
	soakStopUpstream    soakStepKind = "stop_upstream"
	soakWritesLost      soakStepKind = "writes_lost"
)

// soakStepKinds lists all kinds that a plan draws from.
var soakStepKinds = []soakStepKind{
	soakAccept, soakCutDomain, soakDelayLinks, soakDrainUpstream, soakDropReplies, soakHalfOpen, soakKillNode,
	soakKillUpstream, soakPauseNode, soakPauseUpstream, soakPlatformDown, soakPlatformRefuses, soakPlatformSlow,
	soakStallLinks, soakStopNode, soakStopUpstream, soakWritesLost,
}

// A soakStep is one fault or change in a soak.
type soakStep struct {
	kind               soakStepKind
	startsAt, duration time.Duration
	node               int // Index of the node; ignored by kinds that concern a domain or the platform.
	domain             int // Number of the failure domain, from 1; used by soakCutDomain only.
}

// String describes the step for logs.
func (s soakStep) String() string {
	return fmt.Sprintf("%v for %v: %s at node %d, domain %d", s.startsAt, s.duration, s.kind, s.node, s.domain)
}

// resource returns the name of what the step needs exclusively: two faults of the same process, of the network or of
// the platform would undo each other.
func (s soakStep) resource() string {
	switch s.kind {
	case soakAccept:
		return fmt.Sprint("operator ", s.node)
	case soakCutDomain, soakDelayLinks, soakDropReplies, soakHalfOpen, soakStallLinks:
		return "network"
	case soakKillNode, soakPauseNode, soakStopNode:
		return fmt.Sprint("node ", s.node)
	case soakDrainUpstream, soakKillUpstream, soakPauseUpstream, soakStopUpstream:
		return fmt.Sprint("upstream ", s.node)
	default:
		return "platform"
	}
}

// planSoak returns the random steps of a soak, sorted by time. On average they start faster than they end, so they
// overlap.
func planSoak(random *rand.Rand, total time.Duration, nodes int) []soakStep {
	const (
		meanGap  = 250 * time.Millisecond
		shortest = 100 * time.Millisecond
		longest  = 2500 * time.Millisecond
		domains  = 3
	)
	var steps []soakStep
	busy := map[string]time.Duration{}
	for at := time.Duration(0); at < total; at += time.Duration(random.Int64N(int64(2 * meanGap))) {
		s := soakStep{
			kind: soakStepKinds[random.IntN(len(soakStepKinds))], startsAt: at, duration: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
			node: random.IntN(nodes), domain: 1 + random.IntN(domains),
		}
		if busy[s.resource()] > at {
			continue
		}
		// Leaves a process some time to start before its next fault.
		busy[s.resource()] = at + s.duration + shortest
		steps = append(steps, s)
	}
	return steps
}

// TestPlanSoak guards against plans that differ between two runs with the same seed, and against kinds that are never
// drawn.
func TestPlanSoak(t *testing.T) {
	plan := func(seed uint64) []soakStep {
		return planSoak(rand.New(rand.NewPCG(seed, seed)), time.Minute, 13)
	}
	drawn := map[soakStepKind]bool{}
	for seed := range uint64(10) {
		first := plan(seed)
		if !slices.Equal(first, plan(seed)) {
			t.Errorf("seed %d gives two different plans", seed)
		}
		for _, s := range first {
			drawn[s.kind] = true
		}
	}
	for _, k := range soakStepKinds {
		if !drawn[k] {
			t.Errorf("%s is never drawn", k)
		}
	}
}

// runStep injects the fault of a step, waits for its duration and reverts it, or makes the change.
func (s *soak) runStep(ctx context.Context, step soakStep) error {
	n := s.m.Nodes()[step.node]
	switch step.kind {
	case soakAccept:
		return s.acceptRoute(ctx, n)
	case soakKillNode:
		return killFor(n.NodeProcess(), step.duration)
	case soakKillUpstream:
		return killFor(n.UpstreamProcess(), step.duration)
	case soakPauseNode:
		return pauseFor(n.NodeProcess(), step.duration)
	case soakPauseUpstream:
		return pauseFor(n.UpstreamProcess(), step.duration)
	case soakStopNode:
		return stopFor(ctx, n.NodeProcess(), step.duration)
	case soakStopUpstream:
		return stopFor(ctx, n.UpstreamProcess(), step.duration)
	case soakDrainUpstream:
		return s.drainFor(ctx, n, step.duration)
	case soakPlatformDown, soakPlatformRefuses, soakPlatformSlow, soakWritesLost:
		return s.failPlatformFor(ctx, step)
	default:
		s.failNetworkFor(step, n)
		return nil
	}
}

// acceptRoute adds a route through one node. Faults may make it fail, also with an unknown outcome, so that is no
// error.
func (s *soak) acceptRoute(ctx context.Context, n *baobabemulator.MeshNode) error {
	c, err := s.m.NewConfigurationEditor(n)
	if err != nil {
		return err
	}
	defer c.Close()
	acceptCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	version, err := c.AcceptRoute(acceptCtx, fmt.Sprint("soak-", time.Now().UnixNano()), "availability")
	if err != nil {
		s.failedAccepts.Add(1)
		return nil
	}
	for {
		highest := s.highestAccepted.Load()
		if version.Number <= highest || s.highestAccepted.CompareAndSwap(highest, version.Number) {
			return nil
		}
	}
}

func (s *soak) drainFor(ctx context.Context, n *baobabemulator.MeshNode, d time.Duration) error {
	if err := n.SetBehaviour(ctx, `{"announce_state": "draining"}`); err != nil {
		return err
	}
	time.Sleep(d)
	return n.SetBehaviour(ctx, `{"announce_state": ""}`)
}

func (s *soak) failPlatformFor(ctx context.Context, step soakStep) error {
	fields := map[soakStepKind]string{
		soakPlatformDown:    `{"down": true}`,
		soakPlatformRefuses: `{"refuse_reads": 3, "refuse_writes": 3}`,
		soakPlatformSlow:    `{"delay": "400ms"}`,
		soakWritesLost:      `{"lose_writes": 3}`,
	}
	if err := s.m.SetPlatformFaults(ctx, fields[step.kind]); err != nil {
		return err
	}
	time.Sleep(step.duration)
	return s.m.SetPlatformFaults(ctx, `{"down": false, "delay": "", "lose_writes": 0, "refuse_writes": 0, "refuse_reads": 0}`)
}

func (s *soak) failNetworkFor(step soakStep, n *baobabemulator.MeshNode) {
	if step.kind == soakCutDomain {
		s.m.Partition(step.domain)
		time.Sleep(step.duration)
		s.m.Heal(step.domain)
		return
	}
	switch step.kind {
	case soakDelayLinks:
		n.PeerProxy().Delay(20*time.Millisecond, 100*time.Millisecond)
	case soakDropReplies:
		n.PeerProxy().DropReplies()
	case soakHalfOpen:
		n.PeerProxy().HalfOpen()
	case soakStallLinks:
		n.PeerProxy().Stall(0.2, 300*time.Millisecond)
	}
	time.Sleep(step.duration)
	n.PeerProxy().Heal()
}

// processStartDelay is how long a started process is left alone. A stop signal that arrives before the process has
// installed its signal handlers, while nothing runs in it yet, kills it (seeds 16 and 53).
const processStartDelay = 500 * time.Millisecond

func startProcess(p *baobabemulator.Process) error {
	defer time.Sleep(processStartDelay)
	return p.Start()
}

func killFor(p *baobabemulator.Process, d time.Duration) error {
	p.Kill()
	time.Sleep(d)
	return startProcess(p)
}

func pauseFor(p *baobabemulator.Process, d time.Duration) error {
	p.Pause()
	time.Sleep(d)
	p.Resume()
	return nil
}

// stopFor stops a process gracefully and restarts it after d. It returns an error if the process exits with one.
func stopFor(ctx context.Context, p *baobabemulator.Process, d time.Duration) error {
	if err := p.Terminate(ctx); err != nil {
		return err
	}
	time.Sleep(d)
	return startProcess(p)
}
