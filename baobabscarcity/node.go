package baobabscarcity

import (
	"strconv"
	"time"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	call "github.com/baobabdale/baobabdale/baobabcall"
	dependency "github.com/baobabdale/baobabdale/baobabdependency"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// A node has the queue in front of one upstream, what it learnt about nested calls, and its retry budgets.
type node struct {
	run      *run
	service  int
	queue    *admission.Queue
	limiter  *admission.Limiter
	tracker  *dependency.Tracker
	budgets  []*route.Budget // By service.
	inFlight map[string]int  // By rank.
	running  int
	waiting  map[*admission.Entry]func(*call.Refusal)
}

func newNode(r *run, service int) *node {
	var ranks []admission.Rank
	for i, name := range rankNames {
		floor := rankFloorPercent
		if i == 0 {
			floor = 0
		}
		ranks = append(ranks, admission.NewRank(name, i, floor, r.targets[i]))
	}
	n := &node{
		run: r, service: service, queue: admission.NewQueue(admission.NewPolicy(ranks, queueLimit, 0)),
		limiter: admission.NewLimiter(0, 1), tracker: dependency.NewTracker(func(time.Time, dependency.KindState) {}),
		inFlight: map[string]int{}, waiting: map[*admission.Entry]func(*call.Refusal){},
	}
	n.queue.SetOrder(r.rules.NestedPriority, r.rules.ObjectiveOrder)
	n.queue.KeepUsualShare(r.rules.KeptPercent)
	n.limiter.Announce(epoch, slots, 10*slots, time.Time{})
	for range r.scenario.Services {
		n.budgets = append(n.budgets, route.NewBudget(retryBudgetPercent))
	}
	return n
}

// load returns how many calls run and wait.
func (n *node) load() int { return n.running + n.queue.Len() }

// admit refuses the call or runs it once a slot is free.
func (n *node) admit(c *simCall, done func(callEnd)) {
	now := n.run.clock.now()
	if n.run.rules.RootAdmission {
		if ok, after := n.tracker.RootAdmission(now, c.kindName(), strconv.Itoa(c.id)); !ok {
			refusal := call.NewRefusal(call.ReasonDependencyShort, call.OutcomeNotRun, "").WithRetryAfter(after)
			done(callEnd{refusal: refusal})
			return
		}
	}
	stats := admission.NewUpstreamStats(slots, n.running, n.limiter.MeanLatency(), n.limiter.MinServiceTime(c.kindName())).
		WithExpectedLatency(n.limiter.ExpectedLatency(c.kindName()))
	e, drops, refusal := n.queue.Offer(now, c.request(), stats)
	n.refuse(drops)
	if refusal != nil {
		done(callEnd{refusal: refusal})
		return
	}
	n.waiting[e] = func(refusal *call.Refusal) {
		if refusal != nil {
			done(callEnd{refusal: refusal})
			return
		}
		n.execute(c, done)
	}
	n.run.clock.after(c.deadline.Sub(now), func() { n.expire(e) })
	n.dispatch()
}

// expire refuses an entry that still waits at its deadline.
func (n *node) expire(e *admission.Entry) {
	if n.queue.Cancel(e) {
		n.decide(e, call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, ""))
	}
}

// decide tells the call of an entry that it was refused, or granted without a refusal.
func (n *node) decide(e *admission.Entry, refusal *call.Refusal) {
	decided := n.waiting[e]
	delete(n.waiting, e)
	decided(refusal)
}

func (n *node) refuse(drops []admission.Drop) {
	for _, d := range drops {
		n.decide(d.Entry(), d.Refusal())
	}
}

// dispatch starts waiting calls while slots are free.
func (n *node) dispatch() {
	for n.running < slots && n.queue.Len() > 0 {
		e, drops := n.queue.NextReserving(n.run.clock.now(), admission.NewSlotUsage(slots, n.inFlight))
		n.refuse(drops)
		if e == nil {
			return
		}
		n.running++
		n.inFlight[e.Request().Rank()]++
		n.decide(e, nil)
	}
}

// execute runs a call that has a slot: half of its work, its nested calls, and the rest of its work. The node cancels it
// at its deadline.
func (n *node) execute(c *simCall, done func(callEnd)) {
	r := n.run
	started, ended := r.clock.now(), false
	n.tracker.RecordStart(started, c.kindName())
	end := func(e callEnd, o admission.Outcome) {
		if ended {
			return
		}
		ended = true
		now := r.clock.now()
		n.limiter.Record(now, c.kindName(), now.Sub(started), o, n.running)
		n.running--
		n.inFlight[rankNames[c.rank]]--
		n.dispatch()
		done(e)
	}
	if r.random.Float64() < r.shedShare(n.service) {
		refusal := call.NewRefusal(call.ReasonUpstreamShed, call.OutcomeNotRun, "")
		r.clock.after(hopTime, func() { end(callEnd{refusal: refusal}, admission.OutcomeShed) })
		return
	}
	r.clock.after(c.deadline.Sub(started), func() { end(callEnd{failed: true}, admission.OutcomeCancelled) })
	finish := func() { end(callEnd{}, admission.OutcomeSucceeded) }
	work := r.serviceTime(c.work)
	k := r.scenario.Kinds[c.kind]
	if c.nested || k.Nested == 0 || r.random.Float64() >= k.Share {
		r.clock.after(work, finish)
		return
	}
	r.clock.after(work/2, func() {
		n.callNested(c, &ended, k.Nested, func(ok bool) {
			if !ok {
				end(callEnd{failed: true}, admission.OutcomeFailed)
				return
			}
			r.clock.after(work/2, finish)
		})
	})
}

// callNested makes the nested calls of a root, unless it has ended, and reports once whether all were answered.
func (n *node) callNested(root *simCall, rootEnded *bool, calls int, done func(ok bool)) {
	if *rootEnded {
		return
	}
	k := n.run.scenario.Kinds[root.kind]
	if k.Parallel {
		left, failed := calls, false
		for range calls {
			n.callOnce(root, func(ok bool) {
				left--
				failed = failed || !ok
				if left == 0 {
					done(!failed)
				}
			})
		}
		return
	}
	n.callOnce(root, func(ok bool) {
		if !ok || calls == 1 {
			done(ok)
			return
		}
		n.callNested(root, rootEnded, calls-1, done)
	})
}

// callOnce makes one nested call through this node and records how it ended.
func (n *node) callOnce(root *simCall, done func(ok bool)) {
	r := n.run
	root.nestedCalls++
	first := root.nestedCalls == 1
	now := r.clock.now()
	k := r.scenario.Kinds[root.kind]
	c := r.newCall()
	c.kind, c.service, c.work, c.nested, c.rank = root.kind, k.Calls, nestedWork, true, root.rank
	c.deadline = now.Add(nestedTimeout)
	if root.deadline.Before(c.deadline) {
		c.deadline = root.deadline
	}
	c.objective = root.objective
	if !r.rules.NestedPriority {
		// Without the relation to its root, a nested call has the rank of its own route.
		c.rank, c.objective = 1, now.Add(nestedObjective)
	}
	n.send(c, func(e callEnd) {
		end := r.clock.now()
		n.tracker.RecordNested(end, root.kindName(), strconv.Itoa(c.service), first, dependency.EndingOf(e.refusal), end.Sub(now))
		done(e.refusal == nil && !e.failed)
	})
}

// send tries endpoints until one answers or a retry is not worthwhile.
func (n *node) send(c *simCall, done func(callEnd)) {
	b := n.budgets[c.service]
	b.RecordCall(n.run.clock.now())
	n.attempt(c, b, 1, 0, done)
}

func (n *node) attempt(c *simCall, b *route.Budget, dispatch, upstreamAttempts int, done func(callEnd)) {
	r := n.run
	target := r.choose(c.service)
	r.clock.after(hopTime, func() {
		target.admit(c, func(e callEnd) {
			r.clock.after(hopTime, func() {
				now := r.clock.now()
				if r.rules.RetryOrder {
					b.RecordRoom(now, e.refusal != nil && dependency.LacksRoom(e.refusal))
				}
				if e.refusal == nil {
					done(e)
					return
				}
				outcome := route.NewRefused(e.refusal)
				if route.MayHaveReachedUpstream(outcome) {
					upstreamAttempts++
				}
				a := route.NewAttempt(upstreamAttempts, maxAttempts, c.deadline, outcome, route.WithDispatches(dispatch),
					route.WithIdempotent(true), route.WithLessUrgent(r.rules.RetryOrder && !c.nested && c.rank > 0))
				if _, retry := route.DecideRetry(now, a, b).(route.Retry); retry {
					n.attempt(c, b, dispatch+1, upstreamAttempts, done)
					return
				}
				done(e)
			})
		})
	})
}
