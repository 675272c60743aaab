package baobabadmission

import (
	"context"
	"errors"
	"sync"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Gate grants permits for calls to one upstream. It is safe for concurrent use.
//
// While requests wait, at least one permit is held, so every release makes progress, or the pacer has no permit and a
// timer runs. The limit, which rises with time while the upstream warms up, takes effect at the next event.
type Gate struct {
	mu                sync.Mutex
	queue             *Queue
	limiter           *Limiter
	pacer             pacer
	timerRunning      bool // A timer calls dispatch when the pacer has a permit.
	counters          *counters
	waitMeter         waitMeter
	inFlight          int
	inFlightByRank    map[string]int // Permits held, by rank name.
	draining          bool
	ordersByObjective bool          // Does not change.
	idle              chan struct{} // Closed once when draining and nothing is in flight.
}

// NewGate returns a gate that allows one call at a time until Announce is called.
func NewGate(options ...Option) *Gate {
	g := &Gate{
		queue:          NewQueue(NewPolicy(nil, 0, 0)),
		limiter:        NewLimiter(defaultWarmUp, defaultWarmUpFraction),
		counters:       newCounters(),
		inFlightByRank: map[string]int{},
		idle:           make(chan struct{}),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Acquire waits for a permit. It returns a refusal with the outcome not_run instead when the queue is full, the request
// cannot be served in time, its deadline passes, the context ends, or the gate drains. Exactly one result is not nil.
func (g *Gate) Acquire(ctx context.Context, now time.Time, r Request) (*Permit, *call.Refusal) {
	e, refusal := g.enqueue(ctx, now, r)
	if refusal != nil {
		return nil, refusal
	}
	expired, stop := deadlineTimer(now, g.latestGrant(e))
	defer stop()
	select {
	case <-e.waiter.decided:
	case <-ctx.Done():
		g.cancelEntry(e, contextRefusal(ctx))
	case <-expired:
		const detail = "the deadline leaves no time for the call after its wait"
		g.cancelEntry(e, call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, detail))
	}
	<-e.waiter.decided
	return e.waiter.permit, e.waiter.refusal
}

// latestGrant returns until when the entry waits, or the zero time. With an order by objectives a call is refused as soon
// as the deadline leaves less than its least service time, so that the refusal arrives before the deadline.
func (g *Gate) latestGrant(e *Entry) time.Time {
	if e.request.deadline.IsZero() || !g.ordersByObjective {
		return e.request.deadline
	}
	return e.request.deadline.Add(-e.minService)
}

// deadlineTimer returns a channel that receives at the deadline, or nil when there is none, and a function that stops
// the timer.
func deadlineTimer(now, deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(deadline.Sub(now))
	return t.C, func() { t.Stop() }
}

// contextRefusal returns the refusal of a request whose context ended. When the context was cancelled, the caller no
// longer reads the refusal.
func contextRefusal(ctx context.Context) *call.Refusal {
	detail := "deadline passed in the queue"
	if errors.Is(ctx.Err(), context.Canceled) {
		detail = "cancelled in the queue"
	}
	return call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, detail)
}

// enqueue offers the request to the queue and grants the permits that are available.
func (g *Gate) enqueue(ctx context.Context, now time.Time, r Request) (*Entry, *call.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, g.countRefusal(r, call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "node is draining"))
	}
	if ctx.Err() != nil {
		return nil, g.countRefusal(r, contextRefusal(ctx))
	}
	pause := g.pacer.wait(now)
	if r.freeSlotOnly && (pause > 0 || !g.queue.FreeSlot(now, r.rank, NewSlotUsage(g.limiter.Limit(now), g.inFlightByRank))) {
		return nil, g.countRefusal(r, call.NewRefusal(call.ReasonNoFreeSlot, call.OutcomeNotRun, "no slot is free"))
	}
	s := NewUpstreamStats(g.limiter.Limit(now), g.inFlight, g.limiter.MeanLatency(), g.limiter.MinServiceTime(r.kind)).
		WithExpectedLatency(g.limiter.ExpectedLatency(r.kind)).WithRequestLimit(g.pacer.perSecond, pause)
	e, drops, refusal := g.queue.Offer(now, r, s)
	if refusal != nil {
		return nil, g.countRefusal(r, refusal)
	}
	e.waiter = newWaiter()
	g.refuseDrops(drops)
	g.dispatch(now)
	return e, nil
}

// cancelEntry removes the entry from the queue and refuses it, unless it was already granted or refused.
func (g *Gate) cancelEntry(e *Entry, refusal *call.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(e) {
		e.waiter.refuse(g.countRefusal(e.request, refusal))
	}
}

// dispatch grants permits to waiting requests up to the limit and as fast as the pacer allows.
func (g *Gate) dispatch(now time.Time) {
	for limit := g.limiter.Limit(now); g.inFlight < limit && g.queue.Len() > 0; {
		if pause := g.pacer.wait(now); pause > 0 {
			g.dispatchAfter(now, pause)
			return
		}
		e, drops := g.queue.NextReserving(now, NewSlotUsage(limit, g.inFlightByRank))
		g.refuseDrops(drops)
		if e == nil {
			return
		}
		g.pacer.take(now)
		g.inFlight++
		g.inFlightByRank[g.rankName(e.request)]++
		wait := max(0, now.Sub(e.enqueuedAt))
		g.waitMeter.observe(now, wait)
		g.counters.countGrant(g.rankName(e.request), wait)
		e.waiter.grant(&Permit{gate: g, kind: e.request.kind, rank: g.rankName(e.request), grantedAt: now, wait: wait})
	}
}

// dispatchAfter calls dispatch after a pause, unless a timer that does so is running.
func (g *Gate) dispatchAfter(now time.Time, pause time.Duration) {
	if g.timerRunning {
		return
	}
	g.timerRunning = true
	g.counters.pauses++
	start := time.Now()
	time.AfterFunc(pause, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.timerRunning = false
		g.dispatch(now.Add(time.Since(start)))
	})
}

func (g *Gate) refuseDrops(drops []Drop) {
	for _, d := range drops {
		d.entry.waiter.refuse(g.countRefusal(d.entry.request, d.refusal))
	}
}

// countRefusal counts the refusal and returns it.
func (g *Gate) countRefusal(r Request, refusal *call.Refusal) *call.Refusal {
	g.counters.countRefusal(g.rankName(r), refusal.Reason())
	return refusal
}

// rankName returns the name of the rank that the policy assigns to the request.
func (g *Gate) rankName(r Request) string {
	p := g.queue.policy
	return p.ranks[p.rankIndex(r.rank)].name
}

func (g *Gate) release(now time.Time, p *Permit, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	g.counters.countRelease(p.rank, now.Sub(p.grantedAt))
	g.limiter.Record(now, p.kind, now.Sub(p.grantedAt), o, g.inFlight)
	g.inFlight--
	if g.inFlightByRank[p.rank]--; g.inFlightByRank[p.rank] <= 0 {
		delete(g.inFlightByRank, p.rank)
	}
	g.dispatch(now)
	g.closeIfIdle()
}

func (g *Gate) closeIfIdle() {
	if !g.draining || g.inFlight > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Announce sets the slots, connections and start time announced by the upstream.
func (g *Gate) Announce(now time.Time, slots, connections int, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Announce(now, slots, connections, started)
	g.dispatch(now)
}

// SetRequestLimit sets the requests per second that the upstream states it takes.
func (g *Gate) SetRequestLimit(now time.Time, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.setLimit(now, perSecond)
	g.dispatch(now)
}

// ClearRequestLimit removes the limit on requests per second.
func (g *Gate) ClearRequestLimit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.clearLimit()
	g.dispatch(now)
}

// Configure replaces the policy. Waiting requests stay queued under the new one.
func (g *Gate) Configure(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Configure(p)
}

// LatencyTarget returns the latency target of a rank, or zero when it has none.
func (g *Gate) LatencyTarget(rank string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.queue.policy
	return p.ranks[p.rankIndex(rank)].latencyTarget
}

// Drain refuses all waiting and future requests. Held permits stay valid.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.refuseDrops(g.queue.Drain())
	g.closeIfIdle()
}

// Idle returns a channel that is closed when the gate is draining and nothing is in flight.
func (g *Gate) Idle() <-chan struct{} { return g.idle }

// Load returns the state of the gate.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		inFlight: g.inFlight,
		limit:    g.concurrency(now),
		queued:   g.queue.Len(),
		wait:     g.waitMeter.decayedMean(now),
		draining: g.draining,
	}
}

// concurrency returns how many calls run at the same time at most, by the limiter or, by Little's law, at the rate of the
// pacer. Nodes that choose between upstreams compare calls with it.
func (g *Gate) concurrency(now time.Time) int {
	limit := g.limiter.Limit(now)
	if latency := g.limiter.MeanLatency(); g.pacer.limited() && latency > 0 {
		limit = min(limit, max(1, int(g.pacer.perSecond*latency.Seconds())))
	}
	return limit
}

// Pauses returns how often waiting requests had a slot and waited for the stated request limit.
func (g *Gate) Pauses() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters.pauses
}

// Refusals returns the number of refusals by rank and reason, sorted.
func (g *Gate) Refusals() []RefusalCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters.refusals()
}

// OverloadedSince returns since when a rank is overloaded, or the zero time.
func (g *Gate) OverloadedSince(now time.Time, rank string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.OverloadedSince(now, rank)
}

// Usage returns what each rank of the policy asked for and got, the most urgent rank first.
func (g *Gate) Usage() []RankUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]RankUsage, 0, len(g.queue.policy.ranks))
	for _, r := range g.queue.policy.ranks {
		all = append(all, g.counters.usage(r.name))
	}
	return all
}
