package baobabadmission

import (
	"container/list"
	"time"
)

// An Entry is a request that waits in a Queue.
type Entry struct {
	request       Request
	sequence      uint64 // Increases in order of arrival.
	enqueuedAt    time.Time
	minService    time.Duration // Least service time; zero when unknown.
	estimatedWait time.Duration // Uncorrected estimate, made on arrival.
	rank          int           // Index in the policy.
	lane          laneKind
	service       time.Duration // Expected service time if the entry has an objective to meet; else zero.
	callerQueue   *callerQueue  // Nil once the entry has left the queue.
	element       *list.Element // Position in callerQueue.
	waiter        *waiter       // Set by the gate; nil in a queue without a gate.
}

// Request returns the waiting request.
func (e *Entry) Request() Request { return e.request }

// EnqueuedAt returns when the request entered the queue.
func (e *Entry) EnqueuedAt() time.Time { return e.enqueuedAt }

// missesObjective reports whether the call would miss its objective if it started now.
func (e *Entry) missesObjective(now time.Time) bool {
	return e.service > 0 && !e.request.objective.IsZero() && now.Add(e.service).After(e.request.objective)
}

// missesDeadline reports whether work of the given duration that starts now would not end before the deadline.
func (e *Entry) missesDeadline(now time.Time, work time.Duration) bool {
	return !e.request.deadline.IsZero() && !now.Add(work).Before(e.request.deadline)
}
