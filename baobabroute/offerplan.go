package baobabroute

import (
	"math/rand/v2"
	"slices"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// maxNearOffers is the number of endpoints of the nearest tier that are asked for a free slot before a call queues.
	maxNearOffers = 2
	// maxNearOffersByRate is the same where endpoints are chosen by their rates. Fewer of them refuse, so that a call takes
	// no more messages with three offers than with two offers without rates, and fewer calls wait beside a free slot.
	maxNearOffersByRate = 3
	// maxOtherOffers is the number of farther endpoints that are asked while the nearest tier is overloaded.
	maxOtherOffers = 1
)

// An OfferPlan selects the endpoints of one call, one after another. It answers the load of many entries that each send
// few calls: what an entry knows of an endpoint is then older than a call lasts, and two choices by it place little
// better than one at random. The first endpoints are therefore asked to take the call only if a slot is free for it, and
// to refuse it at once otherwise; if all refuse, the call queues at the best of them, whose loads the refusals have just
// reported. A refused offer costs one message each way. A call leaves the nearest tier only for a free slot while the tier
// is overloaded, or after the tier's queue refused it.
//
// It is not safe for concurrent use.
type OfferPlan struct {
	chooser *Chooser
	set     *CandidateSet
	random  *rand.Rand
	tried   []string // Endpoints that took part, without those that only had no free slot.
	busy    []string // Endpoints that had no free slot.

	nearOffers, otherOffers int // Offers of a free slot so far.

	first string // Endpoint that is asked first for a free slot; empty: none.

	objective  time.Time       // When the latency target of the call passes; zero: none.
	refused    bool            // The queue of an endpoint refused the call.
	refusals   int             // Queues that refused the call.
	failed     bool            // An attempt failed or was lost.
	askedTiers [tierCount]bool // Farther tiers that were asked for a free slot.
}

// NewOfferPlan returns the plan of one call.
func (c *Chooser) NewOfferPlan(random *rand.Rand, set *CandidateSet) *OfferPlan {
	return &OfferPlan{chooser: c, set: set, random: random}
}

// AskFirst makes the plan ask an endpoint for a free slot before all others, unless it is overloaded. The body of a call
// is not sent over the network if the endpoint is on the own node.
func (p *OfferPlan) AskFirst(id string) { p.first = id }

// SetObjective sets when the latency target of the call passes. Where leaving the failure domain is limited, the call
// leaves only if it would otherwise miss its objective.
func (p *OfferPlan) SetObjective(t time.Time) { p.objective = t }

// An Offer is the next endpoint of a call.
type Offer struct {
	candidate    Candidate
	freeSlotOnly bool
}

// Candidate returns the endpoint.
func (o Offer) Candidate() Candidate { return o.candidate }

// FreeSlotOnly reports whether the endpoint must refuse the call at once if no slot is free for it.
func (o Offer) FreeSlotOnly() bool { return o.freeSlotOnly }

// Next returns the next offer, or a refusal when no endpoint is left.
func (p *OfferPlan) Next(now time.Time) (Offer, *call.Refusal) {
	if !p.chooser.distances.isZero() {
		h := choice{Chooser: p.chooser, now: now, random: p.random, set: p.set, excluded: p.isUsed, weightThreshold: p.random.Float64()}
		if o, ok := p.nextFirst(h); ok {
			return o, nil
		}
		return p.nextByDistance(h)
	}
	if len(p.tried) > 0 {
		// The queue of an endpoint refused the call or could not be reached: any other may take it.
		c, refusal := p.chooser.Choose(now, p.random, p.set, p.isTried)
		if refusal != nil {
			return Offer{}, refusal
		}
		return p.queue(c), nil
	}
	h := choice{Chooser: p.chooser, now: now, random: p.random, set: p.set, excluded: p.isBusy, weightThreshold: p.random.Float64()}
	if o, ok := p.nextFirst(h); ok {
		return o, nil
	}
	near, other := p.set.nearAndOther()
	overloaded := p.nearOverloaded(h, near)
	if !overloaded && len(near) > 1 && p.nearOffers < p.chooser.nearOffers {
		if s, ok := h.betterOfTwo(near); ok && !s.overloaded {
			p.nearOffers++
			return Offer{candidate: *s.candidate, freeSlotOnly: true}, nil
		}
	}
	if overloaded && p.otherOffers < maxOtherOffers {
		if s, ok := h.betterOfTwo(other); ok && !s.overloaded {
			p.otherOffers++
			return Offer{candidate: *s.candidate, freeSlotOnly: true}, nil
		}
	}
	c, refusal := p.chooseQueue(h, near)
	if refusal != nil {
		return Offer{}, refusal
	}
	return p.queue(c), nil
}

// nextFirst returns the offer to the endpoint that is asked first, once.
func (p *OfferPlan) nextFirst(h choice) (Offer, bool) {
	i, ok := p.set.indexByID[p.first]
	p.first = ""
	if !ok {
		return Offer{}, false
	}
	s, ok := h.score(i, -1)
	if !ok || s.overloaded {
		return Offer{}, false
	}
	return Offer{candidate: *s.candidate, freeSlotOnly: true}, true
}

// nearOverloaded reports whether the better of two near endpoints is overloaded, those without a free slot included.
func (p *OfferPlan) nearOverloaded(h choice, near []int) bool {
	h.excluded = nil
	s, ok := h.betterOfTwo(near)
	return !ok || s.overloaded
}

// chooseQueue returns the endpoint at which the call queues: the best near one that has just reported its load, else the
// better of two near ones, and a farther one only if these fail or refuse calls. That a farther one is not known to be
// loaded says little, because its last report is old.
func (p *OfferPlan) chooseQueue(h choice, near []int) (Candidate, *call.Refusal) {
	asked := p.askedOf(near)
	h.excluded = nil
	for _, tier := range [][]int{asked, near} {
		if s, ok := h.betterOfTwo(tier); ok && !p.chooser.stats.Snapshot(h.now, s.candidate.id).degraded() {
			return *s.candidate, nil
		}
	}
	return p.chooser.Choose(h.now, p.random, p.set, nil)
}

// askedOf returns the indexes of the endpoints that had no free slot.
func (p *OfferPlan) askedOf(indexes []int) []int {
	return slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return !p.isBusy(p.set.candidates[i].id) })
}

// queue returns an offer of a place in the queue.
func (p *OfferPlan) queue(c Candidate) Offer {
	p.tried = append(p.tried, c.id)
	return Offer{candidate: c}
}

// RecordBusy records that an endpoint had no free slot for the call.
func (p *OfferPlan) RecordBusy(o Offer) { p.busy = append(p.busy, o.candidate.id) }

// RecordFailure records that an attempt at an endpoint ended without an answer and for another reason than a missing
// free slot, so that the endpoint is not used again.
func (p *OfferPlan) RecordFailure(o Offer, outcome AttemptOutcome) {
	if refusedForLoad(outcome) {
		p.refused = true
		p.refusals++
	} else {
		p.failed = true
	}
	if o.freeSlotOnly {
		p.tried = append(p.tried, o.candidate.id)
	}
}

// refusedForLoad reports whether an attempt ended because its endpoint has too many calls.
func refusedForLoad(outcome AttemptOutcome) bool {
	r, ok := outcome.(Refused)
	if !ok || r.refusal.Outcome() != call.OutcomeNotRun {
		return false
	}
	switch r.refusal.Reason() {
	case call.ReasonCallerShare, call.ReasonDeadlineUnmeetable, call.ReasonQueueFull, call.ReasonUpstreamShed:
		return true
	default:
		return false
	}
}

func (p *OfferPlan) isTried(id string) bool { return slices.Contains(p.tried, id) }

func (p *OfferPlan) isBusy(id string) bool { return slices.Contains(p.busy, id) }

func (p *OfferPlan) isUsed(id string) bool { return p.isBusy(id) || p.isTried(id) }
