package baobabmembership

import "time"

// An entry is a record with what this table knows about it.
type entry struct {
	member   Member
	position uint64    // On the ring.
	hash     uint64    // Of the record.
	since    time.Time // Start of the suspicion, or of the retention of a dead or left record.
	hearsay  bool      // A dead or left record of a member that this table never knew as live; not passed on.
}
