package baobabroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// placementLoad is the load that OfferPlan answers: many entries, few slots an endpoint, endpoints of unequal speed, and
// reports that are older than a call lasts.
type placementLoad struct {
	nodes int     // Entries, and endpoints in three services; every third node has an endpoint of the service played.
	load  float64 // Of the slots.
	slow  float64 // Share of the endpoints that take four times as long.
}

const (
	placementSlots   = 5
	placementService = 120 * time.Millisecond // Mean; half of it is fixed.
	placementTarget  = 400 * time.Millisecond
	placementLink    = 500 * time.Microsecond // One way, with the time in two nodes.
	placementTime    = 6 * time.Second        // 20 s for the figures in docs/endpoint-choice.md, with more sizes.
	placementDomains = 5
)

// placementResult is what callers get.
type placementResult struct {
	inTarget    float64 // Share of all calls.
	p50, p99    time.Duration
	messages    float64 // A call, one way.
	otherDomain float64 // Share of calls that ran in another failure domain.
}

// placement simulates calls that are placed with or without offers of free slots.
type placement struct {
	events   simulationEvents
	sequence int
	random   *rand.Rand
	offers   bool
	set      []*CandidateSet // By failure domain.
	choosers []*Chooser      // By entry.
	ends     map[string]*placementEndpoint
	took     []time.Duration
	messages int
	other    int
}

type placementEndpoint struct {
	domain  string
	speed   float64
	running int
	queue   []func(now time.Time)
}

func (x *placement) schedule(at time.Time, do func(now time.Time)) {
	x.sequence++
	heap.Push(&x.events, simulationEvent{at: at, sequence: x.sequence, do: do})
}

func domainName(i int) string { return fmt.Sprintf("d%d", i%placementDomains) }

func runPlacement(l placementLoad, offers bool, seed uint64) placementResult {
	x := &placement{random: rand.New(rand.NewPCG(seed, 0)), offers: offers, ends: map[string]*placementEndpoint{}}
	var candidates []Candidate
	speeds := 0.0
	for i := range l.nodes / 3 {
		id := fmt.Sprintf("e%03d", i)
		e := &placementEndpoint{domain: domainName(i), speed: 0.7 + 0.6*x.random.Float64()}
		if x.random.Float64() < l.slow {
			e.speed /= 4
		}
		speeds += e.speed
		x.ends[id] = e
		candidates = append(candidates, NewCandidate(id, "", e.domain, "r", placementSlots, time.Time{}))
	}
	for d := range placementDomains {
		x.set = append(x.set, NewCandidateSet("s", domainName(d), "r", candidates))
	}
	for range l.nodes {
		x.choosers = append(x.choosers, NewChooser(NewEndpointStats()))
	}
	gap := placementService.Seconds() / (l.load * placementSlots * speeds)
	calls := 0
	for at := 0.0; at < placementTime.Seconds(); at += x.random.ExpFloat64() * gap {
		entry := x.random.IntN(l.nodes)
		calls++
		x.schedule(start.Add(time.Duration(at*float64(time.Second))), func(now time.Time) { x.arrive(now, entry) })
	}
	end := start.Add(placementTime)
	for len(x.events) > 0 && x.events[0].at.Before(end) {
		e := heap.Pop(&x.events).(simulationEvent)
		e.do(e.at)
	}
	slices.Sort(x.took)
	in, _ := slices.BinarySearch(x.took, placementTarget)
	done := len(x.took)
	return placementResult{
		inTarget: float64(in) / float64(calls), p50: x.took[done/2], p99: x.took[done*99/100],
		messages: float64(x.messages) / float64(calls), otherDomain: float64(x.other) / float64(done),
	}
}

func (x *placement) arrive(now time.Time, entry int) {
	set := x.set[entry%placementDomains]
	c := x.choosers[entry]
	if !x.offers {
		candidate, _ := c.Choose(now, x.random, set, nil)
		x.send(now, entry, now, Offer{candidate: candidate}, nil)
		return
	}
	plan := c.NewOfferPlan(x.random, set)
	x.next(now, entry, now, plan)
}

func (x *placement) next(now time.Time, entry int, arrived time.Time, plan *OfferPlan) {
	o, refusal := plan.Next(now)
	if refusal != nil {
		panic(refusal)
	}
	x.send(now, entry, arrived, o, plan)
}

// send sends an offer to its endpoint, which runs, queues or refuses the call.
func (x *placement) send(now time.Time, entry int, arrived time.Time, o Offer, plan *OfferPlan) {
	id, stats := o.candidate.id, x.choosers[entry].stats
	e := x.ends[id]
	delay := placementLink
	if e.domain != domainName(entry) {
		delay *= 10
	}
	stats.RecordStart(now, id)
	x.messages++
	x.schedule(now.Add(delay), func(now time.Time) {
		if o.freeSlotOnly && (e.running >= placementSlots || len(e.queue) > 0) {
			report := NewLoad(e.running, placementSlots, len(e.queue), 0)
			x.messages++
			x.schedule(now.Add(delay), func(now time.Time) {
				stats.RecordLoad(now, id, report)
				stats.RecordResult(now, id, NewResult(VerdictNeutral, 0))
				plan.RecordBusy(o)
				x.next(now, entry, arrived, plan)
			})
			return
		}
		queuedAt := now
		e.queue = append(e.queue, func(now time.Time) {
			wait := now.Sub(queuedAt)
			service := time.Duration(float64(placementService) * (0.5 + 0.5*x.random.ExpFloat64()) / e.speed)
			x.schedule(now.Add(service), func(now time.Time) {
				e.running--
				report := NewLoad(e.running, placementSlots, len(e.queue), wait)
				x.serve(now, e)
				x.messages++
				x.schedule(now.Add(delay), func(now time.Time) {
					stats.RecordLoad(now, id, report)
					stats.RecordResult(now, id, NewResult(VerdictSuccess, now.Sub(arrived)))
					x.took = append(x.took, now.Sub(arrived))
					if e.domain != domainName(entry) {
						x.other++
					}
				})
			})
		})
		x.serve(now, e)
	})
}

func (x *placement) serve(now time.Time, e *placementEndpoint) {
	for e.running < placementSlots && len(e.queue) > 0 {
		run := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		run(now)
	}
}

// TestOfferPlanPlacement plays the load at several sizes with and without offers of free slots, and checks what callers
// get: never fewer answers in the target, and where slots are free most of the time a shorter tail.
func TestOfferPlanPlacement(t *testing.T) {
	const seed = 20261204
	var table strings.Builder
	fmt.Fprintf(&table, "seed %d\n| nodes | load | slow | offers | in target | p50 ms | p99 ms | messages a call | other domain |\n|---|---|---|---|---|---|---|---|---|\n", seed)
	for _, l := range []placementLoad{
		{30, 0.7, 0}, {100, 0.5, 0}, {100, 0.85, 0}, {100, 1, 0}, {100, 0.7, 0.2}, {300, 0.85, 0.1},
	} {
		without, with := runPlacement(l, false, seed), runPlacement(l, true, seed)
		for i, r := range []placementResult{without, with} {
			fmt.Fprintf(&table, "| %d | %.2f | %.1f | %v | %.3f | %.0f | %.0f | %.2f | %.3f |\n", l.nodes, l.load, l.slow, i == 1, r.inTarget,
				milliseconds(r.p50), milliseconds(r.p99), r.messages, r.otherDomain)
		}
		if with.inTarget < without.inTarget-0.01 {
			t.Errorf("load %+v: %.3f of the calls in target, %.3f without offers", l, with.inTarget, without.inTarget)
		}
		if with.otherDomain > without.otherDomain+0.01 {
			t.Errorf("load %+v: %.3f of the calls in other failure domains, %.3f without offers", l, with.otherDomain, without.otherDomain)
		}
		if l.load <= 0.85 && with.p99 > without.p99 {
			t.Errorf("load %+v: p99 %v, %v without offers", l, with.p99, without.p99)
		}
	}
	t.Log(table.String())
}
