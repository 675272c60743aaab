package baobabmembership

import "time"

const (
	// The suspicion timeout is multiplied by 1 + the level, so a node that hears nobody waits up to 18 s. It must end,
	// because all successors of a node can really die at once, for example with their rack.
	maxGuardLevel = 8
	// A tick that is later than this many tick intervals counts as a pause of this process.
	pauseIntervals = 3
)

// A guard keeps a node that is itself paused or isolated from declaring others dead.
type guard struct {
	level    int
	interval time.Duration // Expected time between ticks.
	lastTick time.Time     // Zero before the first tick.
}

// probed records a finished round of probes. More than half without any answer means that this node is the problem.
func (g *guard) probed(sent, unanswered int) {
	if sent == 0 {
		return
	}
	if 2*unanswered > sent {
		g.level = min(g.level+1, maxGuardLevel)
		return
	}
	g.level = max(g.level-1, 0)
}

// tick returns how much time passed unobserved since the last tick: zero in normal operation.
func (g *guard) tick(now time.Time) time.Duration {
	last := g.lastTick
	g.lastTick = now
	if last.IsZero() {
		return 0
	}
	elapsed := now.Sub(last)
	if elapsed >= 0 && elapsed <= pauseIntervals*g.interval {
		return 0
	}
	g.level = min(g.level+1, maxGuardLevel)
	return elapsed - g.interval
}

// timeout returns the suspicion timeout to apply.
func (g *guard) timeout(base time.Duration) time.Duration { return base * time.Duration(1+g.level) }
