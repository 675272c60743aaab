package baobabroute

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// slowServicePercent is the service time of a slow call as a percentage of the mean. A call counts as in time if it meets
// its objective with it.
const slowServicePercent = 125

// maxQueueRefusals is the number of queues that may refuse a call for lack of room. With 4 in a simulation at full load, a
// call took 4.9 messages in place of 4.4, and 0.3% more calls were answered in the target.
const maxQueueRefusals = 3

// minRegionRefusals is the number of queues that refuse a call before it asks another region. With 1 in a simulation at 70%
// of the capacity, more calls went to other regions than without any limit.
const minRegionRefusals = 2

// freeUtilization is the utilization below which an endpoint probably has a free slot. Offers beyond the first two go only
// to such endpoints: without that, a call took 0.04 messages more at half of the capacity and 0.13 more at 70% of it, for
// less than 0.01 fewer calls that wait beside a free slot.
const freeUtilization = 0.9

// minFreeReportWeight is the least weight of a report that shows free slots, which it has for 700 ms. In a mesh of 1,000
// nodes most reports are older, and a third offer by them took calls to 3.90 messages at 70% of the capacity, from 3.72.
const minFreeReportWeight = 0.5

// nextByDistance returns the next offer where leaving the failure domain is limited. Free slots are asked for in the own
// failure domain, then once in each farther tier that is worth its distance. The call then queues, as near as possible.
func (p *OfferPlan) nextByDistance(h choice) (Offer, *call.Refusal) {
	near, overloaded := p.nearestTier(h)
	if near == tierCount {
		h.allowCoolingDown = true
		if near, overloaded = p.nearestTier(h); near == tierCount {
			return Offer{}, call.NewRefusal(call.ReasonNoUpstream, call.OutcomeNotRun, "no usable endpoint of service "+p.set.service)
		}
	}
	if !overloaded {
		if o, ok := p.nearOffer(h, near); ok {
			return o, nil
		}
	}
	queue := p.queueByDistance(h, near)
	wait, service := p.expectation(h.now, queue)
	for tier := near + 1; tier < tierCount; tier++ {
		if o, ok := p.fartherOffer(h, tier, wait, service); ok {
			return o, nil
		}
	}
	if p.refusals >= maxQueueRefusals {
		return Offer{}, call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "the queues of several endpoints are full")
	}
	return p.queue(*queue.candidate), nil
}

// nearestTier returns the nearest tier with a usable endpoint at which the call has not failed, or tierCount, and whether
// the better of two endpoints of the tier is overloaded.
func (p *OfferPlan) nearestTier(h choice) (tier int, overloaded bool) {
	h.excluded = nil
	if len(p.tried) > 0 {
		h.excluded = p.isTried
	}
	for tier, indexes := range p.set.tiers {
		if s, ok := h.betterOfTwo(indexes); ok {
			return tier, s.overloaded
		}
	}
	return tierCount, false
}

// nearOffer returns an offer of a free slot in the nearest tier.
func (p *OfferPlan) nearOffer(h choice, near int) (Offer, bool) {
	indexes := p.set.tiers[near]
	if len(p.tried) > 0 || len(indexes) < 2 || p.nearOffers >= p.chooser.nearOffers {
		return Offer{}, false
	}
	s, ok := h.betterOfTwo(indexes)
	if !ok || s.overloaded {
		return Offer{}, false
	}
	if p.nearOffers >= maxNearOffers && !p.looksFree(h.now, s) {
		return Offer{}, false
	}
	p.nearOffers++
	return Offer{candidate: *s.candidate, freeSlotOnly: true}, true
}

// expectation returns the time that the call is expected to wait and to run where it would queue. The wait has no bound
// after a queue refused the call, and where the endpoint fails or refuses calls.
func (p *OfferPlan) expectation(now time.Time, queue scoredCandidate) (wait, service time.Duration) {
	snapshot := p.chooser.stats.Snapshot(now, queue.candidate.id)
	if p.refused || snapshot.degraded() {
		return maxWait, snapshot.expectedService()
	}
	return snapshot.expectedWait(queue.candidate.slots), snapshot.expectedService()
}

// fartherOffer returns an offer of a free slot in a farther tier, once, if the call is expected to miss its objective
// where it would queue, to meet it there, and to save the distance. Without an objective the saved wait alone decides.
func (p *OfferPlan) fartherOffer(h choice, tier int, wait, service time.Duration) (Offer, bool) {
	distance := p.chooser.distances.to(tier)
	if p.askedTiers[tier] || wait <= distance || tier == tierOther && p.refused && p.refusals < minRegionRefusals {
		return Offer{}, false
	}
	slow := service * slowServicePercent / 100
	if !p.objective.IsZero() && wait < maxWait && !h.now.Add(wait+slow).After(p.objective) {
		return Offer{}, false
	}
	if !p.objective.IsZero() && h.now.Add(service).After(p.objective) {
		return Offer{}, false
	}
	h.excluded = p.isUsed
	s, ok := h.betterOfTwo(p.set.tiers[tier])
	if !ok || s.overloaded {
		return Offer{}, false
	}
	p.askedTiers[tier] = true
	return Offer{candidate: *s.candidate, freeSlotOnly: true}, true
}

// queueByDistance returns the endpoint at which the call queues: of the nearest tier, or of the region where the nearest
// tier fails or refuses calls and an endpoint of the region is better.
func (p *OfferPlan) queueByDistance(h choice, near int) scoredCandidate {
	h.excluded = p.isTried
	indexes := p.set.tiers[near]
	best, ok := h.betterOfTwo(p.askedOf(indexes))
	if !ok || best.degraded {
		best, _ = h.betterOfTwo(indexes)
	}
	if near != tierSameDomain || !p.refused && !best.degraded {
		return best
	}
	s, ok := h.betterOfTwo(p.set.tiers[tierSameRegion])
	if ok && !s.degraded && (best.degraded || s.betterThan(best)) {
		return s
	}
	return best
}

// looksFree reports whether an endpoint had free slots a short time ago.
func (p *OfferPlan) looksFree(now time.Time, s scoredCandidate) bool {
	snapshot := p.chooser.stats.Snapshot(now, s.candidate.id)
	return snapshot.reportWeight > minFreeReportWeight && snapshot.utilization(s.candidate.slots) < freeUtilization
}
