package baobabadmission

import "time"

// A Rank is a class of urgency.
type Rank struct {
	name         string
	priority     int // Lower is more urgent.
	floorPercent int // Share of the grants and of the queue that the rank keeps while it has work waiting, 0 to 100.
	target       time.Duration
}

// NewRank returns a rank. A lower priority is more urgent; target is the answer time that the operator wants.
func NewRank(name string, priority, floorPercent int, target time.Duration) Rank {
	return Rank{name: name, priority: priority, floorPercent: min(max(floorPercent, 0), 100), target: target}
}

// Name returns the name of the rank.
func (r Rank) Name() string { return r.name }

// Priority returns the priority; lower is more urgent.
func (r Rank) Priority() int { return r.priority }

// FloorPercent returns the share of grants that the rank keeps while it has work waiting.
func (r Rank) FloorPercent() int { return r.floorPercent }

// Target returns the answer time that the operator wants.
func (r Rank) Target() time.Duration { return r.target }
