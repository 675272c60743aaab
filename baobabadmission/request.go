package baobabadmission

import "time"

// A Request describes a call that asks for a permit.
type Request struct {
	rank     string
	caller   string
	deadline time.Time // Zero means none.
	kind     string

	freeSlotOnly bool
	nested       bool      // Made by an upstream while it runs another call.
	objective    time.Time // Zero means none.
}

// NewRequest returns a request. The kind groups calls of similar cost, for example by route. Latencies are compared only
// within a kind, so that a change in the mix of calls does not look like overload.
func NewRequest(rank, caller string, deadline time.Time, kind string) Request {
	return Request{rank: rank, caller: caller, deadline: deadline, kind: kind}
}

// WithFreeSlotOnly returns a copy that is refused as no_free_slot unless a slot is free for it on arrival.
func (r Request) WithFreeSlotOnly() Request {
	r.freeSlotOnly = true
	return r
}

// WithNested returns a copy of a call that an upstream makes while it runs another call.
func (r Request) WithNested() Request {
	r.nested = true
	return r
}

// WithObjective returns a copy with the time until which the answer is of full use to the caller.
func (r Request) WithObjective(t time.Time) Request {
	r.objective = t
	return r
}

// Rank returns the name of the rank.
func (r Request) Rank() string { return r.rank }

// Caller returns the identity of the caller.
func (r Request) Caller() string { return r.caller }

// Deadline returns the time after which the caller no longer needs the answer, or zero when there is none.
func (r Request) Deadline() time.Time { return r.deadline }

// Kind returns the group of calls of similar cost.
func (r Request) Kind() string { return r.kind }
