package baobabadmission

import (
	"cmp"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A RefusalCount says how many requests of a rank were refused for a reason.
type RefusalCount struct {
	rank   string
	reason call.Reason
	count  uint64
}

// Rank returns the rank.
func (r RefusalCount) Rank() string { return r.rank }

// Reason returns the reason.
func (r RefusalCount) Reason() call.Reason { return r.reason }

// Count returns the number of refusals.
func (r RefusalCount) Count() uint64 { return r.count }

func compareRefusalCounts(a, b RefusalCount) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.reason, b.reason))
}
