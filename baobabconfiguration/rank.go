package baobabconfiguration

import "time"

// A Rank is a priority class of calls within a policy.
type Rank struct {
	name          string
	priority      int // Lower is more urgent.
	floorPercent  int
	latencyTarget time.Duration
	worth         int
}

type rankJSON struct {
	Name         string       `json:"name"`
	Priority     int          `json:"priority"`
	FloorPercent int          `json:"floor_percent"`
	Target       jsonDuration `json:"target"`
	Worth        int          `json:"worth"`
}

func newRank(j rankJSON) Rank {
	return Rank{
		name:          j.Name,
		priority:      j.Priority,
		floorPercent:  j.FloorPercent,
		latencyTarget: time.Duration(j.Target),
		worth:         j.Worth,
	}
}

// Name returns the name, which is unique within the policy.
func (r Rank) Name() string { return r.name }

// Priority returns the priority, which is unique within the policy; lower is more urgent.
func (r Rank) Priority() int { return r.priority }

// FloorPercent returns the percentage of capacity that is guaranteed to the rank while more urgent ranks cause an
// overload.
func (r Rank) FloorPercent() int { return r.floorPercent }

// LatencyTarget returns the time within which calls of the rank should be answered.
func (r Rank) LatencyTarget() time.Duration { return r.latencyTarget }

// Worth returns the value of one answered call relative to calls of other ranks.
func (r Rank) Worth() int { return r.worth }
