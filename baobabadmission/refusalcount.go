package baobabadmission

import (
	"cmp"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A RefusalCount is the number of requests of a rank that were refused for one reason.
type RefusalCount struct {
	rank   string
	reason call.Reason
	count  uint64
}

// Rank returns the name of the rank.
func (r RefusalCount) Rank() string { return r.rank }

// Reason returns the reason for the refusals.
func (r RefusalCount) Reason() call.Reason { return r.reason }

// Count returns the number of refusals.
func (r RefusalCount) Count() uint64 { return r.count }

func compareRefusalCounts(a, b RefusalCount) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.reason, b.reason))
}
