package baobabnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	call "github.com/baobabdale/baobabdale/baobabcall"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// A bodyGranter decides whether the body of a call from another node is sent. It asks for the body if the call would get
// a slot, or a place in the queue from which it is served in time. The call asks for its slot only when the body has
// arrived: a slot that is held during the transfer, of 50 ms for 60 kB at 10 Mbit/s, serves nobody.
type bodyGranter struct {
	admitter  *Admitter
	transfers *transferMeter
	schedule  *linkSchedule
	pending   atomic.Int64 // Calls whose body is in transfer.
}

// maxGrantDelay bounds how long a body waits for its place on the link. It is below grantWait, after which the sender takes
// this node as unreachable.
const maxGrantDelay = 700 * time.Millisecond

// grant asks the sender for the body of a call once the link has room for it, or returns a refusal of the call. The returned
// function ends the transfer and must be called; the stream is reset if that does not happen before the deadline.
func (g *bodyGranter) grant(ctx context.Context, now time.Time, s *peer.Stream, c *wire.Call) (func(), *call.Refusal) {
	if refusal := g.check(now, c); refusal != nil {
		g.transfers.refused.Inc()
		return nil, refusal
	}
	// The slot was free when the body was asked for. Where that has changed, the call queues rather than be sent again.
	c.FreeSlotOnly = false
	size := c.GetBodySize()
	g.pending.Add(1)
	g.transfers.receiving.Add(size)
	g.transfers.granted.Inc()
	expired := time.AfterFunc(remainingTime(c), s.Reset)
	end := sync.OnceFunc(func() {
		expired.Stop()
		g.transfers.receiving.Add(-size)
		g.pending.Add(-1)
	})
	sleep(ctx, g.schedule.reserve(now, size))
	// A failure to send shows when the body is received.
	_ = s.Send(&wire.Envelope{Body: &wire.Envelope_CallGrant{CallGrant: &wire.CallGrant{}}})
	return end, nil
}

// check refuses a call that cannot run here or whose body cannot arrive in time.
func (g *bodyGranter) check(now time.Time, c *wire.Call) *call.Refusal {
	u := g.admitter.board.Upstream()
	if u == nil || u.Service() != c.GetService() || !u.AcceptsCalls() {
		return call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "no upstream of the service is ready here")
	}
	deadline := now.Add(remainingTime(c))
	if g.admitter.shutsDownBefore(deadline) {
		return call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "the node is stopping")
	}
	caller := c.GetAccount()
	if caller == "" {
		caller = c.GetCaller()
	}
	r := admission.NewRequest(c.GetRank(), caller, deadline, kindOf(c.GetMethod(), c.GetTarget()))
	if c.GetHasTarget() {
		r = r.WithObjective(now.Add(time.Duration(c.GetTargetRemainingUs()) * time.Microsecond))
	}
	delay := g.schedule.wait(now)
	if c.GetFreeSlotOnly() {
		if delay > 0 {
			return call.NewRefusal(call.ReasonNoFreeSlot, call.OutcomeNotRun, "the link has no room for the body now")
		}
		r = r.WithFreeSlotOnly()
	}
	if delay > maxGrantDelay {
		const detail = "the bodies of earlier calls fill the link"
		return call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, detail).WithRetryAfter(delay)
	}
	return g.admitter.gate.Preview(now, r, int(g.pending.Load()), delay+g.transfers.transferTime(c.GetBodySize()))
}

// remainingTime returns the time until the deadline of a call from another node.
func remainingTime(c *wire.Call) time.Duration {
	return time.Duration(c.GetRemainingUs()) * time.Microsecond
}
