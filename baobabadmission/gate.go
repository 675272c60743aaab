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
// While requests wait, at least one permit is held, so each release makes progress and no timer is needed. The
// only exception is a limit that rises with time while the upstream warms up; it takes effect at the next event.
type Gate struct {
	mu       sync.Mutex
	queue    *Queue
	limiter  *Limiter
	counters *counters
	wait     waitMeter
	inFlight int
	running  map[string]int // Permits held, by name of the rank.
	draining bool
	idle     chan struct{} // Closed once when draining and nothing is in flight.
}

// NewGate returns a gate that allows one call at a time until Announce.
func NewGate(options ...Option) *Gate {
	g := &Gate{
		queue:    NewQueue(NewPolicy(nil, 0, 0)),
		limiter:  NewLimiter(defaultWarmUp, defaultWarmUpFraction),
		counters: newCounters(),
		running:  map[string]int{},
		idle:     make(chan struct{}),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Acquire waits for a permit. It returns a refusal with the outcome not_run instead when the request cannot be
// served in time, its deadline passes, the context ends, or the gate drains. Exactly one result is not nil.
func (g *Gate) Acquire(ctx context.Context, now time.Time, r Request) (*Permit, *call.Refusal) {
	e, refusal := g.offer(ctx, now, r)
	if refusal != nil {
		return nil, refusal
	}
	expired, stop := deadlineTimer(now, r.deadline)
	defer stop()
	select {
	case <-e.waiter.decided:
	case <-ctx.Done():
		g.abandon(e, abandonedRefusal(ctx))
	case <-expired:
		const detail = "deadline passed in the queue"
		g.abandon(e, call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, detail))
	}
	<-e.waiter.decided
	return e.waiter.permit, e.waiter.refusal
}

// deadlineTimer returns a channel that receives at the deadline, or nil without one.
func deadlineTimer(now, deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(deadline.Sub(now))
	return t.C, func() { t.Stop() }
}

// abandonedRefusal returns the refusal of a request whose context ended. The caller of a cancelled request no
// longer reads it.
func abandonedRefusal(ctx context.Context) *call.Refusal {
	detail := "deadline passed in the queue"
	if errors.Is(ctx.Err(), context.Canceled) {
		detail = "cancelled in the queue"
	}
	return call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, detail)
}

// offer puts the request into the queue and grants what can be granted.
func (g *Gate) offer(ctx context.Context, now time.Time, r Request) (*Entry, *call.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, g.refuse(r, call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "node is draining"))
	}
	if ctx.Err() != nil {
		return nil, g.refuse(r, abandonedRefusal(ctx))
	}
	s := NewService(g.limiter.Limit(now), g.inFlight, g.limiter.Latency(), g.limiter.Shortest(r.kind)).
		WithExpected(g.limiter.Expected(r.kind))
	e, drops, refusal := g.queue.Offer(now, r, s)
	if refusal != nil {
		return nil, g.refuse(r, refusal)
	}
	e.waiter = newWaiter()
	g.dropAll(drops)
	g.dispatch(now)
	return e, nil
}

// abandon takes the entry out of the queue unless it was decided already.
func (g *Gate) abandon(e *Entry, refusal *call.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(e) {
		e.waiter.refuse(g.refuse(e.request, refusal))
	}
}

// dispatch grants permits up to the limit.
func (g *Gate) dispatch(now time.Time) {
	for limit := g.limiter.Limit(now); g.inFlight < limit; {
		e, drops := g.queue.NextWithin(now, NewRoom(limit, g.running))
		g.dropAll(drops)
		if e == nil {
			return
		}
		g.inFlight++
		g.running[g.rankName(e.request)]++
		wait := max(0, now.Sub(e.since))
		g.wait.note(now, wait)
		g.counters.grant(g.rankName(e.request))
		e.waiter.grant(&Permit{gate: g, kind: e.request.kind, rank: g.rankName(e.request), since: now, wait: wait})
	}
}

func (g *Gate) dropAll(drops []Drop) {
	for _, d := range drops {
		d.entry.waiter.refuse(g.refuse(d.entry.request, d.refusal))
	}
}

// refuse counts the refusal and returns it.
func (g *Gate) refuse(r Request, refusal *call.Refusal) *call.Refusal {
	g.counters.refuse(g.rankName(r), refusal.Reason())
	return refusal
}

// rankName returns the rank that the policy gives the request.
func (g *Gate) rankName(r Request) string {
	p := g.queue.policy
	return p.ranks[p.index(r.rank)].name
}

func (g *Gate) release(now time.Time, p *Permit, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	g.limiter.Record(now, p.kind, now.Sub(p.since), o, g.inFlight)
	g.inFlight--
	if g.running[p.rank]--; g.running[p.rank] <= 0 {
		delete(g.running, p.rank)
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

// Announce sets the slots, connections and start time that the upstream announces.
func (g *Gate) Announce(now time.Time, slots, connections int, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Announce(now, slots, connections, started)
	g.dispatch(now)
}

// Configure replaces the policy; waiting requests keep waiting under the new one.
func (g *Gate) Configure(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Configure(p)
}

// Target returns the time within which calls of a rank are to be answered, or zero.
func (g *Gate) Target(rank string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.queue.policy
	return p.ranks[p.index(rank)].target
}

// Drain refuses waiting and new requests. Permits that are held stay valid.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.dropAll(g.queue.Drain())
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
		limit:    g.limiter.Limit(now),
		queued:   g.queue.Len(),
		wait:     g.wait.recent(now),
		draining: g.draining,
	}
}

// Refusals returns the number of refusals by rank and reason, sorted.
func (g *Gate) Refusals() []RefusalCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters.refusals()
}

// Granted returns the number of permits granted to the rank.
func (g *Gate) Granted(rank string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters.granted[rank]
}
