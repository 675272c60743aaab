package baobabadmission

import "time"

// A Rank is a class of urgency.
type Rank struct {
	name          string
	priority      int // Lower is more urgent.
	floorPercent  int // Guaranteed share of the grants and of the queue while entries of the rank wait, 0 to 100.
	latencyTarget time.Duration
}

// NewRank returns a rank. A lower priority is more urgent. The latency target is the answer time that the operator
// aims for.
func NewRank(name string, priority, floorPercent int, latencyTarget time.Duration) Rank {
	return Rank{name: name, priority: priority, floorPercent: min(max(floorPercent, 0), 100), latencyTarget: latencyTarget}
}

// Name returns the name of the rank.
func (r Rank) Name() string { return r.name }

// Priority returns the priority; lower is more urgent.
func (r Rank) Priority() int { return r.priority }

// FloorPercent returns the guaranteed share of grants while requests of the rank wait.
func (r Rank) FloorPercent() int { return r.floorPercent }

// LatencyTarget returns the answer time that the operator aims for, or zero when there is none.
func (r Rank) LatencyTarget() time.Duration { return r.latencyTarget }
