package baobabconfiguration

import "time"

// A Rank is a class of calls within a policy.
type Rank struct {
	name         string
	priority     int // Lower is more urgent.
	floorPercent int
	target       time.Duration
	worth        int
}

type rankJSON struct {
	Name         string       `json:"name"`
	Priority     int          `json:"priority"`
	FloorPercent int          `json:"floor_percent"`
	Target       durationText `json:"target"`
	Worth        int          `json:"worth"`
}

func newRank(j rankJSON) Rank {
	return Rank{
		name:         j.Name,
		priority:     j.Priority,
		floorPercent: j.FloorPercent,
		target:       time.Duration(j.Target),
		worth:        j.Worth,
	}
}

// Name returns the name, which is unique within the policy.
func (r Rank) Name() string { return r.name }

// Priority returns the priority, which is unique within the policy; lower is more urgent.
func (r Rank) Priority() int { return r.priority }

// FloorPercent returns the share of capacity that the rank keeps while more urgent ranks overload it.
func (r Rank) FloorPercent() int { return r.floorPercent }

// Target returns the time within which calls of the rank are to be answered.
func (r Rank) Target() time.Duration { return r.target }

// Worth returns the value of one answered call relative to those of other ranks.
func (r Rank) Worth() int { return r.worth }
