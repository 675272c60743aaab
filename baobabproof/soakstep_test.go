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

// soakKind is what a step of a soak does.
type soakKind string

// The kinds of steps, sorted.
const (
	soakAccept          soakKind = "accept"
	soakCutDomain       soakKind = "cut_domain"
	soakDelayLinks      soakKind = "delay_links"
	soakDrainUpstream   soakKind = "drain_upstream"
	soakDropReplies     soakKind = "drop_replies"
	soakHalfOpen        soakKind = "half_open"
	soakKillNode        soakKind = "kill_node"
	soakKillUpstream    soakKind = "kill_upstream"
	soakPauseNode       soakKind = "pause_node"
	soakPauseUpstream   soakKind = "pause_upstream"
	soakPlatformDown    soakKind = "platform_down"
	soakPlatformRefuses soakKind = "platform_refuses"
	soakPlatformSlow    soakKind = "platform_slow"
	soakStallLinks      soakKind = "stall_links"
	soakStopNode        soakKind = "stop_node"
	soakStopUpstream    soakKind = "stop_upstream"
	soakWritesLost      soakKind = "writes_lost"
)

// soakKinds are all kinds, so that a plan draws each of them.
var soakKinds = []soakKind{
	soakAccept, soakCutDomain, soakDelayLinks, soakDrainUpstream, soakDropReplies, soakHalfOpen, soakKillNode,
	soakKillUpstream, soakPauseNode, soakPauseUpstream, soakPlatformDown, soakPlatformRefuses, soakPlatformSlow,
	soakStallLinks, soakStopNode, soakStopUpstream, soakWritesLost,
}

// A soakStep is one fault or change.
type soakStep struct {
	kind      soakKind
	at, lasts time.Duration
	node      int // Where the kind has a place.
	domain    int // Counted from 1.
}

// String returns the form that is logged.
func (s soakStep) String() string {
	return fmt.Sprintf("%v for %v: %s at node %d, domain %d", s.at, s.lasts, s.kind, s.node, s.domain)
}

// resource returns what a step takes for itself: two faults of one process, of the network or of the platform would undo
// each other.
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

// planSoak returns the steps of a soak, sorted by time. Faults follow each other faster than they end.
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
			kind: soakKinds[random.IntN(len(soakKinds))], at: at, lasts: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
			node: random.IntN(nodes), domain: 1 + random.IntN(domains),
		}
		if busy[s.resource()] > at {
			continue
		}
		// A process needs a moment to start before the next fault meets it in another state.
		busy[s.resource()] = at + s.lasts + shortest
		steps = append(steps, s)
	}
	return steps
}

// TestPlanSoak guards against plans that differ between two runs of a seed, and kinds of faults that are never drawn.
func TestPlanSoak(t *testing.T) {
	plan := func(seed uint64) []soakStep {
		return planSoak(rand.New(rand.NewPCG(seed, seed)), time.Minute, 13)
	}
	drawn := map[soakKind]bool{}
	for seed := range uint64(10) {
		first := plan(seed)
		if !slices.Equal(first, plan(seed)) {
			t.Errorf("seed %d gives two plans", seed)
		}
		for _, s := range first {
			drawn[s.kind] = true
		}
	}
	for _, k := range soakKinds {
		if !drawn[k] {
			t.Errorf("%s is never drawn", k)
		}
	}
}

// apply carries a step out and takes it back after its time.
func (s *soak) apply(ctx context.Context, v soakStep) error {
	n := s.m.Nodes()[v.node]
	switch v.kind {
	case soakAccept:
		return s.accept(ctx, n)
	case soakKillNode:
		return killFor(n.NodeProcess(), v.lasts)
	case soakKillUpstream:
		return killFor(n.UpstreamProcess(), v.lasts)
	case soakPauseNode:
		return pauseFor(n.NodeProcess(), v.lasts)
	case soakPauseUpstream:
		return pauseFor(n.UpstreamProcess(), v.lasts)
	case soakStopNode:
		return stopFor(ctx, n.NodeProcess(), v.lasts)
	case soakStopUpstream:
		return stopFor(ctx, n.UpstreamProcess(), v.lasts)
	case soakDrainUpstream:
		return s.drainFor(ctx, n, v.lasts)
	case soakPlatformDown, soakPlatformRefuses, soakPlatformSlow, soakWritesLost:
		return s.failPlatform(ctx, v)
	default:
		s.failNetwork(v, n)
		return nil
	}
}

// accept changes the configuration through one node. Faults may fail it, also with an unknown outcome.
func (s *soak) accept(ctx context.Context, n *baobabemulator.MeshNode) error {
	c, err := s.m.NewConfigurationEditor(n)
	if err != nil {
		return err
	}
	defer c.Close()
	short, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	version, err := c.AcceptRoute(short, fmt.Sprint("soak-", time.Now().UnixNano()), "availability")
	if err != nil {
		s.failed.Add(1)
		return nil
	}
	for {
		highest := s.accepted.Load()
		if version.Number <= highest || s.accepted.CompareAndSwap(highest, version.Number) {
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

func (s *soak) failPlatform(ctx context.Context, v soakStep) error {
	fields := map[soakKind]string{
		soakPlatformDown:    `{"down": true}`,
		soakPlatformRefuses: `{"refuse_reads": 3, "refuse_writes": 3}`,
		soakPlatformSlow:    `{"delay": "400ms"}`,
		soakWritesLost:      `{"lose_writes": 3}`,
	}
	if err := s.m.SetPlatformFaults(ctx, fields[v.kind]); err != nil {
		return err
	}
	time.Sleep(v.lasts)
	return s.m.SetPlatformFaults(ctx, `{"down": false, "delay": "", "lose_writes": 0, "refuse_writes": 0, "refuse_reads": 0}`)
}

func (s *soak) failNetwork(v soakStep, n *baobabemulator.MeshNode) {
	if v.kind == soakCutDomain {
		s.m.Partition(v.domain)
		time.Sleep(v.lasts)
		s.m.Heal(v.domain)
		return
	}
	switch v.kind {
	case soakDelayLinks:
		n.PeerProxy().Delay(20*time.Millisecond, 100*time.Millisecond)
	case soakDropReplies:
		n.PeerProxy().DropReplies()
	case soakHalfOpen:
		n.PeerProxy().HalfOpen()
	case soakStallLinks:
		n.PeerProxy().Stall(0.2, 300*time.Millisecond)
	}
	time.Sleep(v.lasts)
	n.PeerProxy().Heal()
}

// startSettle is how long a started process is left alone. A stop signal that arrives before it has set its handlers, with
// nothing running in it yet, ends it by the signal (seeds 16 and 53).
const startSettle = 500 * time.Millisecond

func start(p *baobabemulator.Process) error {
	defer time.Sleep(startSettle)
	return p.Start()
}

func killFor(p *baobabemulator.Process, d time.Duration) error {
	p.Kill()
	time.Sleep(d)
	return start(p)
}

func pauseFor(p *baobabemulator.Process, d time.Duration) error {
	p.Pause()
	time.Sleep(d)
	p.Resume()
	return nil
}

// stopFor stops a process as planned, which must end it without an error, and starts it again.
func stopFor(ctx context.Context, p *baobabemulator.Process, d time.Duration) error {
	if err := p.Terminate(ctx); err != nil {
		return err
	}
	time.Sleep(d)
	return start(p)
}
