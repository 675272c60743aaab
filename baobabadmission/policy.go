package baobabadmission

import (
	"cmp"
	"slices"
)

const (
	defaultRankName   = "default"
	defaultQueueLimit = 128
)

// A Policy holds the ranks and bounds of a queue. Policies are validated where they are written; a Policy only
// brings values into the range that the queue's arithmetic needs.
type Policy struct {
	ranks              []Rank // Sorted by priority, then name; never empty; floors sum to at most 100.
	queueLimit         int    // At least 1.
	callerFloorPercent int    // 0 to 100.
}

// NewPolicy returns a policy. Floors beyond a sum of 100 are cut, the least urgent first.
func NewPolicy(ranks []Rank, queueLimit, callerFloorPercent int) Policy {
	sorted := slices.Clone(ranks)
	if len(sorted) == 0 {
		sorted = []Rank{NewRank(defaultRankName, 0, 0, 0)}
	}
	slices.SortStableFunc(sorted, func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
	})
	left := 100
	for i := range sorted {
		sorted[i].floorPercent = min(sorted[i].floorPercent, left)
		left -= sorted[i].floorPercent
	}
	if queueLimit < 1 {
		queueLimit = defaultQueueLimit
	}
	return Policy{ranks: sorted, queueLimit: queueLimit, callerFloorPercent: min(max(callerFloorPercent, 0), 100)}
}

// Ranks returns the ranks, the most urgent first; the slice must not be changed.
func (p Policy) Ranks() []Rank { return p.ranks }

// QueueLimit returns the greatest number of waiting calls.
func (p Policy) QueueLimit() int { return p.queueLimit }

// CallerFloorPercent returns the share of the queue that a caller may hold whatever the number of callers.
func (p Policy) CallerFloorPercent() int { return p.callerFloorPercent }

// index returns the position of the named rank. An unknown name gets the least urgent rank, so that a call from
// a node with another policy version cannot gain urgency.
func (p Policy) index(name string) int {
	for i, r := range p.ranks {
		if r.name == name {
			return i
		}
	}
	return len(p.ranks) - 1
}

// floorPlaces returns how many queue places the rank keeps when the queue is full.
func (p Policy) floorPlaces(rank int) int {
	f := p.ranks[rank].floorPercent
	if f == 0 {
		return 0
	}
	return max(1, p.queueLimit*f/100)
}

// callerPlaces returns the share of a full queue of one of n callers.
func (p Policy) callerPlaces(n int) int {
	return max(1, p.queueLimit*p.callerFloorPercent/100, p.queueLimit/max(1, n))
}
