package baobabroute

import (
	"math/rand/v2"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// minWeight is the share of choices in which an endpoint takes part right after its start.
	minWeight       = 0.1
	defaultWarmTime = 10 * time.Second
	// defaultWaitBound is several times the delay between failure domains (about 5 ms), so that a call leaves its
	// failure domain only when that surely saves time.
	defaultWaitBound = 20 * time.Millisecond
	// defaultPressureBound lets as many calls queue as run.
	defaultPressureBound = 2.0
	// standOutFactor is how many times the mean failure rate of the others an endpoint's own must be for its ejection.
	standOutFactor = 2
	// drawAttempts bounds random draws before the endpoints are searched in order.
	drawAttempts = 4
)

// A Chooser picks the endpoint of a call: two random endpoints of the nearest tier are compared by expected wait. It
// is safe for concurrent use.
type Chooser struct {
	signals       *Signals
	ejections     *Ejections
	warmTime      time.Duration
	waitBound     time.Duration // Reported wait above which an endpoint is overloaded.
	pressureBound float64       // Calls per limit above which an endpoint is overloaded.
}

// ChooserOption sets an optional property of a Chooser.
type ChooserOption func(*Chooser)

// WithWarmTime sets how long the slow start of an endpoint takes.
func WithWarmTime(d time.Duration) ChooserOption { return func(c *Chooser) { c.warmTime = d } }

// WithOverload sets the reported wait and the calls as a multiple of the limit above which an endpoint is
// overloaded, so that a call may go to a farther failure domain.
func WithOverload(wait time.Duration, pressure float64) ChooserOption {
	return func(c *Chooser) { c.waitBound, c.pressureBound = wait, pressure }
}

// NewChooser returns a chooser on signals.
func NewChooser(signals *Signals, options ...ChooserOption) *Chooser {
	c := &Chooser{
		signals:       signals,
		ejections:     NewEjections(),
		warmTime:      defaultWarmTime,
		waitBound:     defaultWaitBound,
		pressureBound: defaultPressureBound,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Ejections returns the ejections that the chooser respects.
func (c *Chooser) Ejections() *Ejections { return c.ejections }

// Finished records the end of a call in the signals and ejects an endpoint that keeps failing. It returns the time
// of a new ejection, or zero.
func (c *Chooser) Finished(now time.Time, set *Set, id string, r Result) time.Duration {
	state := c.signals.Finished(now, id, r)
	if r.verdict != VerdictFailure || !state.suspect() || !c.standsOut(now, set, id, state) {
		return 0
	}
	return c.ejections.Eject(now, set, id)
}

// standsOut reports whether an endpoint fails clearly more often than the others of its service. Where all fail alike, the
// cause is behind them, for example a service that they call, and taking some out only adds load to the rest.
func (c *Chooser) standsOut(now time.Time, set *Set, id string, state State) bool {
	sum, known := 0.0, 0
	for _, candidate := range set.candidates {
		if candidate.id == id {
			continue
		}
		if other := c.signals.State(now, candidate.id); other.ended > 0 {
			sum += other.failureRate
			known++
		}
	}
	return known == 0 || state.failureRate >= standOutFactor*sum/float64(known)
}

// pick is a candidate with its state at the time of the choice.
type pick struct {
	index      int // In the set.
	candidate  Candidate
	wait       time.Duration
	overloaded bool
}

// A choice is one run of Choose.
type choice struct {
	*Chooser
	now      time.Time
	random   *rand.Rand
	set      *Set
	excluded func(id string) bool // May be nil.
	// threshold is drawn once per choice: endpoints with a lower weight take no part. Drawing it for each look at an
	// endpoint would give cold endpoints several chances in one choice.
	threshold float64
	cooling   bool // Whether endpoints whose last connection failed a short time ago take part.
}

// Choose returns an endpoint that is not excluded, draining or ejected, or a refusal with OutcomeNotRun. It takes
// the nearest tier with an endpoint that is not overloaded; when all are overloaded, the one with the least expected
// wait. Endpoints whose node could not be reached a short time ago are taken only when there is no other, whatever
// their number: unlike ejection, which judges by answers and is bounded, a failed connection leaves no doubt. Excluded
// may be nil.
func (c *Chooser) Choose(now time.Time, random *rand.Rand, set *Set, excluded func(id string) bool) (Candidate, *call.Refusal) {
	h := choice{Chooser: c, now: now, random: random, set: set, excluded: excluded, threshold: random.Float64()}
	if candidate, ok := h.nearest(); ok {
		return candidate, nil
	}
	h.cooling = true
	if candidate, ok := h.nearest(); ok {
		return candidate, nil
	}
	return Candidate{}, call.NewRefusal(call.ReasonNoUpstream, call.OutcomeNotRun, "no usable endpoint of service "+set.service)
}

// nearest returns the endpoint of the nearest tier that is not overloaded, else the one with the least expected wait.
func (h choice) nearest() (Candidate, bool) {
	var best pick
	found := false
	for _, tier := range h.set.tiers {
		p, ok := h.ofTwo(tier)
		if !ok {
			continue
		}
		if !p.overloaded {
			return p.candidate, true
		}
		if !found || p.wait < best.wait {
			best, found = p, true
		}
	}
	return best.candidate, found
}

// ofTwo draws two endpoints of a tier and returns the better one. Cold endpoints that take no part in this choice
// are used only when there is no other.
func (h choice) ofTwo(tier []int) (pick, bool) {
	first, ok := h.draw(tier, -1)
	if !ok {
		h.threshold = 0
		if first, ok = h.draw(tier, -1); !ok {
			return pick{}, false
		}
	}
	second, ok := h.draw(tier, first.index)
	if ok && second.better(first) {
		return second, true
	}
	return first, true
}

// better prefers endpoints that are not overloaded, then the shorter wait.
func (p pick) better(o pick) bool {
	if p.overloaded != o.overloaded {
		return o.overloaded
	}
	return p.wait < o.wait
}

// draw returns a random usable endpoint other than the one at index skip.
func (h choice) draw(tier []int, skip int) (pick, bool) {
	if len(tier) == 0 {
		return pick{}, false
	}
	for range drawAttempts {
		if p, ok := h.look(tier[h.random.IntN(len(tier))], skip); ok {
			return p, true
		}
	}
	offset := h.random.IntN(len(tier))
	for n := range tier {
		if p, ok := h.look(tier[(offset+n)%len(tier)], skip); ok {
			return p, true
		}
	}
	return pick{}, false
}

// look returns the endpoint at index i unless it is not usable.
func (h choice) look(i, skip int) (pick, bool) {
	candidate := h.set.candidates[i]
	if i == skip || candidate.weight(h.now, h.warmTime) < h.threshold {
		return pick{}, false
	}
	if h.excluded != nil && h.excluded(candidate.id) {
		return pick{}, false
	}
	state := h.signals.State(h.now, candidate.id)
	if state.draining || (state.cooling && !h.cooling) || h.ejections.Ejected(h.now, h.set, candidate.id) {
		return pick{}, false
	}
	return pick{
		index:      i,
		candidate:  candidate,
		wait:       state.expectedWait(candidate.slots),
		overloaded: state.wait > h.waitBound || state.pressure(candidate.slots) > h.pressureBound || state.failing(),
	}, true
}
