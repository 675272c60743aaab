package baobabmembership

import "time"

// An entry is a record together with the table's local state for it.
type entry struct {
	member     Member
	position   uint64    // On the hash ring.
	hash       uint64    // Of the record.
	stateSince time.Time // Start of the suspicion, or of the retention of a dead or left record.
	neverLive  bool      // The member is dead or left and was never live in this table; the record is not gossiped.
}
