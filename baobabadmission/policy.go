package baobabadmission

import (
	"cmp"
	"slices"
)

const (
	defaultRankName   = "default"
	defaultQueueLimit = 128
)

// A Policy holds the ranks and limits of a queue. Policies are validated when they are written; a Policy only clamps
// values to the range that the queue's arithmetic needs.
type Policy struct {
	ranks              []Rank // Sorted by priority, then name; never empty; floors sum to at most 100.
	queueLimit         int    // At least 1.
	callerFloorPercent int    // 0 to 100.
}

// NewPolicy returns a policy. Floors that sum to more than 100 are reduced, the least urgent rank first. Without ranks
// it has a single default rank; a queue limit below 1 becomes the default of 128.
func NewPolicy(ranks []Rank, queueLimit, callerFloorPercent int) Policy {
	sorted := slices.Clone(ranks)
	if len(sorted) == 0 {
		sorted = []Rank{NewRank(defaultRankName, 0, 0, 0)}
	}
	slices.SortStableFunc(sorted, func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
	})
	remainingPercent := 100
	for i := range sorted {
		sorted[i].floorPercent = min(sorted[i].floorPercent, remainingPercent)
		remainingPercent -= sorted[i].floorPercent
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

// CallerFloorPercent returns the share of the queue that a caller may hold regardless of the number of callers.
func (p Policy) CallerFloorPercent() int { return p.callerFloorPercent }

// rankIndex returns the index of the named rank. An unknown name maps to the least urgent rank, so that a call from a
// node with another policy version cannot gain urgency.
func (p Policy) rankIndex(name string) int {
	for i, r := range p.ranks {
		if r.name == name {
			return i
		}
	}
	return len(p.ranks) - 1
}

// queueFloor returns the number of places that are guaranteed to the rank in a full queue.
func (p Policy) queueFloor(rank int) int {
	floor := p.ranks[rank].floorPercent
	if floor == 0 {
		return 0
	}
	return max(1, p.queueLimit*floor/100)
}

// callerQueueShare returns the number of entries that each of n callers may hold in a full queue.
func (p Policy) callerQueueShare(n int) int {
	return max(1, p.queueLimit*p.callerFloorPercent/100, p.queueLimit/max(1, n))
}
