package baobabadmission

import (
	"slices"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// counters counts the decisions of a gate by rank. Rank names come from the policy, so their number is bounded.
type counters struct {
	granted map[string]uint64
	held    map[string]time.Duration // Slot time of released permits.
	waited  map[string]time.Duration // Waits of granted requests.
	refused map[string]map[call.Reason]uint64
	pauses  uint64 // Times that waiting requests had a slot and waited for the pacer.
}

func newCounters() *counters {
	return &counters{
		granted: map[string]uint64{}, held: map[string]time.Duration{}, waited: map[string]time.Duration{},
		refused: map[string]map[call.Reason]uint64{},
	}
}

func (c *counters) countGrant(rank string, wait time.Duration) {
	c.granted[rank]++
	c.waited[rank] += wait
}

func (c *counters) countRelease(rank string, held time.Duration) { c.held[rank] += held }

// usage returns the counts of a rank.
func (c *counters) usage(rank string) RankUsage {
	u := RankUsage{rank: rank, granted: c.granted[rank], held: c.held[rank], waited: c.waited[rank]}
	for reason, n := range c.refused[rank] {
		if reason != call.ReasonNoFreeSlot {
			u.refused += n
		}
	}
	return u
}

func (c *counters) countRefusal(rank string, reason call.Reason) {
	byReason, ok := c.refused[rank]
	if !ok {
		byReason = map[call.Reason]uint64{}
		c.refused[rank] = byReason
	}
	byReason[reason]++
}

// refusals returns all nonzero refusal counts, sorted by rank and reason.
func (c *counters) refusals() []RefusalCount {
	var all []RefusalCount
	for rank, byReason := range c.refused {
		for reason, n := range byReason {
			all = append(all, RefusalCount{rank: rank, reason: reason, count: n})
		}
	}
	slices.SortFunc(all, compareRefusalCounts)
	return all
}
