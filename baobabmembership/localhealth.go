package baobabmembership

import "time"

const (
	// The suspicion timeout is multiplied by 1 + the score, so a node whose probes all fail waits up to 18 s. The
	// wait is bounded because all successors of a node can really die at once, for example with their rack.
	maxHealthScore = 8
	// A tick that comes later than this many tick intervals counts as a pause of this process.
	pauseThresholdTicks = 3
)

// A localHealth estimates how well this node can observe others. A node that is itself paused or isolated extends its
// suspicion timeout instead of declaring others dead.
type localHealth struct {
	score        int           // 0 is healthy; higher is worse.
	tickInterval time.Duration // Expected time between ticks.
	lastTick     time.Time     // Zero before the first tick.
}

// recordProbeRound records a finished round of probes. When more than half of them got no answer, the fault is assumed
// to be at this node.
func (h *localHealth) recordProbeRound(sent, unanswered int) {
	if sent == 0 {
		return
	}
	if 2*unanswered > sent {
		h.score = min(h.score+1, maxHealthScore)
		return
	}
	h.score = max(h.score-1, 0)
}

// recordTick returns the time since the last tick that this process did not observe: zero in normal operation.
func (h *localHealth) recordTick(now time.Time) time.Duration {
	last := h.lastTick
	h.lastTick = now
	if last.IsZero() {
		return 0
	}
	elapsed := now.Sub(last)
	if elapsed >= 0 && elapsed <= pauseThresholdTicks*h.tickInterval {
		return 0
	}
	h.score = min(h.score+1, maxHealthScore)
	return elapsed - h.tickInterval
}

// scaledTimeout returns the suspicion timeout, extended according to the score.
func (h *localHealth) scaledTimeout(base time.Duration) time.Duration {
	return base * time.Duration(1+h.score)
}
