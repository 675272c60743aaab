package baobabadmission

import (
	"container/list"
	"time"
)

// An Entry is a request that waits in a Queue.
type Entry struct {
	request  Request
	sequence uint64 // Order of arrival.
	since    time.Time
	shortest time.Duration // Least time that serving takes; zero when not known.
	estimate time.Duration // Uncorrected estimate of the wait on arrival.
	rank     int           // Index in the policy.
	turn     *callerQueue  // Nil when the entry is no longer in the queue.
	element  *list.Element // Position in turn.
	waiter   *waiter       // Set by the gate; nil in a bare queue.
}

// Request returns the waiting request.
func (e *Entry) Request() Request { return e.request }

// Since returns when the request began to wait.
func (e *Entry) Since() time.Time { return e.since }

// passed reports whether the deadline leaves less time than need.
func (e *Entry) passed(now time.Time, need time.Duration) bool {
	return !e.request.deadline.IsZero() && !now.Add(need).Before(e.request.deadline)
}
