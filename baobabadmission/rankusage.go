package baobabadmission

import "time"

// A RankUsage counts what the calls of one rank asked of an upstream and what they got, since the start of the gate.
type RankUsage struct {
	rank    string
	granted uint64
	refused uint64
	held    time.Duration
	waited  time.Duration
}

// Rank returns the name of the rank.
func (u RankUsage) Rank() string { return u.rank }

// Granted returns the number of calls that got a slot.
func (u RankUsage) Granted() uint64 { return u.granted }

// Refused returns the number of calls that were refused, without those that only asked for a free slot.
func (u RankUsage) Refused() uint64 { return u.refused }

// Held returns the sum of the times for which calls held a slot, without those that still hold one.
func (u RankUsage) Held() time.Duration { return u.held }

// Waited returns the sum of the times for which granted calls waited for their slot.
func (u RankUsage) Waited() time.Duration { return u.waited }

// Since returns the usage since an earlier one of the same rank.
func (u RankUsage) Since(earlier RankUsage) RankUsage {
	u.granted -= earlier.granted
	u.refused -= earlier.refused
	u.held -= earlier.held
	u.waited -= earlier.waited
	return u
}
