package baobabadmission

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// Preview returns the refusal that the request would get if it asked for a permit after the transfer of its body, or nil
// if it would be granted or queued. No permit is held for it. Pending is the number of earlier requests whose bodies are
// in transfer; each of them counts as one used slot.
func (g *Gate) Preview(now time.Time, r Request, pending int, transfer time.Duration) *call.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return g.countRefusal(r, call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "node is draining"))
	}
	pause, limit := g.pacer.wait(now), g.limiter.Limit(now)
	if r.freeSlotOnly && (pause > 0 || !g.queue.FreeSlot(now, r.rank, NewSlotUsage(limit-pending, g.inFlightByRank))) {
		return g.countRefusal(r, call.NewRefusal(call.ReasonNoFreeSlot, call.OutcomeNotRun, "no slot is free"))
	}
	if !r.deadline.IsZero() && !now.Add(transfer).Before(r.deadline) {
		const detail = "the body cannot arrive before the deadline"
		return g.countRefusal(r, call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, detail))
	}
	s := NewUpstreamStats(limit, g.inFlight+pending, g.limiter.MeanLatency(), g.limiter.MinServiceTime(r.kind)).
		WithExpectedLatency(g.limiter.ExpectedLatency(r.kind)).WithRequestLimit(g.pacer.perSecond, pause)
	rank := g.queue.policy.rankIndex(r.rank)
	estimate := g.queue.uncorrectedWait(now, r, s)
	wait := g.queue.correctWait(rank, estimate)
	refusal := deadlineRefusal(now.Add(transfer), r, s, wait)
	e := g.queue.newEntry(now, r, s, estimate)
	if refusal == nil {
		refusal = g.queue.objectiveRefusal(now.Add(transfer), e, s, wait)
	}
	if refusal == nil {
		refusal = g.queue.targetRefusal(now, e, s, wait)
	}
	if refusal == nil {
		return nil
	}
	// A request that asks for a permit counts as an arrival whether or not it is refused.
	g.queue.ranks[rank].recordArrival(now, s.expectedLatency)
	return g.countRefusal(r, refusal)
}
