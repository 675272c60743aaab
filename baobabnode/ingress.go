package baobabnode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

const (
	// answerGrace is how long the ingress waits beyond the deadline for the admitting node to report whether the call ran.
	answerGrace = 100 * time.Millisecond
	// longAnswerGrace is the same while admission control refuses calls early. Under overload the answer of a node with a
	// sixth of a core took longer than answerGrace, and calls that had not run ended with an unknown outcome.
	longAnswerGrace = 200 * time.Millisecond
	// maxLateness is how long after the deadline of a call its caller has an answer at the latest, also if the admitting
	// node gives none.
	maxLateness = 500 * time.Millisecond
)

// readiness reports whether the node may serve calls, and otherwise why not.
type readiness interface {
	Ready(now time.Time) (bool, string)
}

// An Ingress serves the calls of callers: it matches the route, chooses an endpoint, and retries when that is safe.
type Ingress struct {
	board          *blackboard.Board
	chooser        *route.Chooser
	endpointStats  *route.EndpointStats
	budgets        *blackboard.ShardedMap[budgetKey, *route.Budget]
	admitter       *Admitter
	accounts       *accountController
	limits         *limitController
	dependencies   *dependencyController
	rollouts       *rolloutController
	peerClient     *peerClient
	members        *memberTable
	self           string
	ready          readiness
	retryCounters  *retryCounters
	crossings      *crossingCounters
	lateEndings    *lateEndings
	defaultTimeout time.Duration
	maxTimeout     time.Duration
	now            func() time.Time
	logger         *log.Logger
	decisions      *decisionLog
	randomPool     sync.Pool // Of *rand.Rand, which is not safe for concurrent use.
}

// A budgetKey identifies a retry budget.
type budgetKey struct {
	service string
	percent int
}

// A routedCall is a call with the parameters of its route.
type routedCall struct {
	request       *admissionRequest
	candidates    *route.CandidateSet
	budget        *route.Budget
	maxAttempts   int
	mostUrgent    bool          // No rank of the policy is more urgent.
	latencyTarget time.Duration // Latency target of the rank; zero means none.
}

// attemptResult is the result of an attempt at one endpoint.
type attemptResult struct {
	answer  *call.Answer // Nil unless the upstream answered.
	refusal *call.Refusal
	outcome route.AttemptOutcome
}

// Serve implements caller.CallServer.
func (g *Ingress) Serve(ctx context.Context, now time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
	r, refusal := g.route(now, c)
	if refusal != nil {
		g.decisions.write(now, "call refused", "call", c.ID(), "reason", refusal.Reason(), "detail", refusal.Detail(),
			"host", c.Host(), "target", c.Target(), "version", g.board.ActiveVersion().Number())
		return nil, refusal
	}
	account := r.request.call.Account()
	if refusal := g.limits.admit(now, account); refusal != nil {
		g.accounts.countAdmission(account, false)
		return nil, g.logRefusal(r, refusal, "", 0, route.StopUseless)
	}
	g.accounts.countAdmission(account, true)
	answer, refusal := g.serve(ctx, r)
	g.lateEndings.count(g.now(), r.request.deadline)
	if refusal != nil && refusal.Outcome() == call.OutcomeNotRun {
		g.limits.refund(g.now(), account)
	}
	if r.request.nested {
		g.dependencies.observeNested(g.now(), r.request, answer, refusal, g.now().Sub(now))
	}
	return answer, refusal
}

// MayRepeat reports whether a call may run more than once by the configuration in force, so that it may be served before
// its turn on a connection.
func (g *Ingress) MayRepeat(_ time.Time, c *call.Call) bool {
	active := g.board.ActiveConfiguration()
	if active == nil {
		return false
	}
	rt, _, ok := active.View().Match(c.Host(), c.Method(), pathWithoutQuery(c.Target()))
	return ok && rt.Idempotent(c.Method()) && c.IdempotencyKey() == ""
}

// route matches the route of a call and determines its service, rank, deadline and retry limits.
func (g *Ingress) route(now time.Time, c *call.Call) (*routedCall, *call.Refusal) {
	if ready, reason := g.ready.Ready(now); !ready {
		return nil, call.NewRefusal(call.ReasonNotReady, call.OutcomeNotRun, reason).WithRetryAfter(time.Second)
	}
	active := g.board.ActiveConfiguration()
	if active == nil {
		return nil, call.NewRefusal(call.ReasonNotReady, call.OutcomeNotRun, "no configuration is in force").WithRetryAfter(time.Second)
	}
	rt, policy, ok := active.View().Match(c.Host(), c.Method(), pathWithoutQuery(c.Target()))
	if !ok {
		return nil, call.NewRefusal(call.ReasonNoRoute, call.OutcomeNotRun, "no route matches "+c.Method()+" "+c.Target())
	}
	idempotent := rt.Idempotent(c.Method())
	if !idempotent && rt.RequireIdempotencyKey() && c.IdempotencyKey() == "" {
		return nil, call.NewRefusal(call.ReasonKeyRequired, call.OutcomeNotRun, "route "+rt.Name()+" requires an Idempotency-Key")
	}
	id, refusal := g.accounts.identify(now, active, rt, c)
	if refusal != nil {
		return nil, refusal
	}
	service := rt.PickService(rand.Float64())
	candidates := g.board.Endpoints(service)
	if candidates == nil {
		return nil, call.NewRefusal(call.ReasonNoUpstream, call.OutcomeNotRun, "service "+service+" has no upstream").WithRetryAfter(time.Second)
	}
	request := &admissionRequest{call: c, service: service, deadline: g.deadline(now, c, rt), idempotent: idempotent}
	request.rank = effectiveRank(c, rt, policy)
	if id.account != "" {
		request.call = c.ForAccount(id.account)
	}
	if id.rank != "" {
		request.rank = id.rank
	}
	rank, _ := policy.Rank(request.rank)
	if rank.LatencyTarget() > 0 {
		request.objective = now.Add(rank.LatencyTarget())
	}
	if root, ok := g.dependencies.root(now, c); ok {
		request.inherit(root, policy)
	}
	if d := g.admitter.stopping(); d != nil && !d.takes(now, request.deadline, idempotent) {
		return nil, call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "the node stops before the deadline")
	}
	return &routedCall{
		mostUrgent:    isMostUrgent(policy, rank),
		latencyTarget: rank.LatencyTarget(),
		request:       request,
		candidates:    candidates,
		budget:        g.budget(service, policy.RetryBudgetPercent()),
		maxAttempts:   policy.MaxAttempts(),
	}, nil
}

// inherit gives a nested call the more urgent of its own and its root's rank, the root's account and objective, and at most
// the root's deadline.
func (r *admissionRequest) inherit(root rootCall, policy configuration.Policy) {
	r.nested = true
	own, _ := policy.Rank(r.rank)
	if rank, ok := policy.Rank(root.rank); ok && rank.Priority() < own.Priority() {
		r.rank = rank.Name()
	}
	r.fairCaller, r.rootKind, r.nestedNumber = root.account, root.kind, root.nested
	r.deadline = earlierOf(r.deadline, root.deadline)
	// A nested call has served its purpose if the root meets its objective.
	if !root.objective.IsZero() {
		r.objective = root.objective
	}
}

// serve tries endpoints until one answers, or until a retry is unsafe or not worthwhile.
func (g *Ingress) serve(ctx context.Context, r *routedCall) (*call.Answer, *call.Refusal) {
	random := g.getRandom()
	defer g.randomPool.Put(random)
	r.budget.RecordCall(g.now())
	start := g.now()
	r.candidates, r.request.version = g.rollouts.candidates(start, random, r.candidates)
	plan := g.newPlan(random, r)
	var lastRefusal *call.Refusal
	upstreamAttempts := 0 // Attempts that may have reached an upstream.
	lastEndpoint := ""
	for number := 1; ; number++ {
		offer, refusal := plan.Next(g.now())
		if refusal != nil {
			if lastRefusal != nil {
				refusal = lastRefusal
			}
			return nil, g.logRefusal(r, refusal, lastEndpoint, number-1, route.StopUseless)
		}
		candidate := offer.Candidate()
		lastEndpoint = candidate.ID()
		g.crossings.count(plan.Crossing(offer))
		// A claim is written before the call asks for a slot, so such a call queues at once.
		r.request.freeSlotOnly = offer.FreeSlotOnly() && !r.request.needsClaim()
		result := g.attempt(ctx, r, candidate, number)
		if !hasNoFreeSlot(result) {
			g.dependencies.observeAttempt(g.now(), r.budget, result)
		}
		if result.answer != nil {
			return g.logIfLate(r, result.answer, candidate, start, number), nil
		}
		if hasNoFreeSlot(result) && ctx.Err() == nil {
			g.retryCounters.countRetry(route.RetryNoFreeSlot)
			plan.RecordBusy(offer)
			number--
			continue
		}
		plan.RecordFailure(offer, result.outcome)
		lastRefusal = combineRefusals(lastRefusal, result.refusal)
		if ctx.Err() != nil {
			// The caller is gone, so the failure does not charge the retry budget.
			return nil, g.logRefusal(r, lastRefusal, candidate.ID(), number, route.StopAbandoned)
		}
		if route.MayHaveReachedUpstream(result.outcome) {
			upstreamAttempts++
		}
		attempt := route.NewAttempt(upstreamAttempts, r.maxAttempts, r.request.deadline, result.outcome,
			route.WithDispatches(number), route.WithIdempotent(r.request.idempotent),
			route.WithRetriedEarlier(r.request.call.Retried()), route.WithLessUrgent(g.dependencies.leavesBudget(r)))
		switch d := route.DecideRetry(g.now(), attempt, r.budget).(type) {
		case route.Retry:
			g.retryCounters.countRetry(d.Reason())
			g.decisions.write(g.now(), "call sent again", "call", r.request.call.ID(), "service", r.request.service,
				"member", candidate.ID(), "reason", d.Reason(), "refusal", result.refusal.Reason(),
				"detail", result.refusal.Detail(), "attempt", number, "left", r.request.deadline.Sub(g.now()))
		case route.Stop:
			g.retryCounters.countStop(d.Reason())
			return nil, g.logRefusal(r, lastRefusal, candidate.ID(), number, d.Reason())
		}
	}
}

// hasNoFreeSlot reports whether an endpoint that was asked for a free slot has none.
func hasNoFreeSlot(result attemptResult) bool {
	return result.refusal != nil && result.refusal.Reason() == call.ReasonNoFreeSlot
}

// logIfLate returns the answer with a body that, when closed, logs the endpoint and the number of dispatches if the
// call took longer than the latency target of its rank.
func (g *Ingress) logIfLate(r *routedCall, a *call.Answer, candidate route.Candidate, start time.Time,
	dispatches int) *call.Answer {
	return withOnClose(a, func() {
		now := g.now()
		if took := now.Sub(start); r.latencyTarget > 0 && took > r.latencyTarget {
			g.decisions.write(now, "call late", "call", r.request.call.ID(), "service", r.request.service,
				"rank", r.request.rank, "member", candidate.ID(), "took", took, "target", r.latencyTarget, "offers", dispatches,
				"status", a.Status(), "version", g.board.ActiveVersion().Number())
		}
	})
}

// logRefusal logs why a call ends without an answer and which endpoint was tried last, and returns the refusal.
func (g *Ingress) logRefusal(r *routedCall, refusal *call.Refusal, member string, attempts int,
	stop route.StopReason) *call.Refusal {
	now := g.now()
	g.decisions.write(now, "call refused", "call", r.request.call.ID(), "service", r.request.service,
		"rank", r.request.rank, "reason", refusal.Reason(), "outcome", refusal.Outcome(), "detail", refusal.Detail(),
		"member", member, "attempts", attempts, "stopped_by", stop, "retry_after", refusal.RetryAfter(), "left", r.request.deadline.Sub(now),
		"endpoints", r.candidates.Len(), "version", g.board.ActiveVersion().Number())
	return refusal
}

// attempt sends the call to one endpoint and updates the endpoint's statistics until the answer has been read.
func (g *Ingress) attempt(ctx context.Context, r *routedCall, candidate route.Candidate, number int) attemptResult {
	start := g.now()
	g.endpointStats.RecordStart(start, candidate.ID())
	finish := func(v route.Verdict) {
		now := g.now()
		if d := g.chooser.RecordResult(now, r.candidates, candidate.ID(), route.NewResult(v, now.Sub(start))); d > 0 {
			g.logger.Info("endpoint ejected", "member", candidate.ID(), "for", d)
		}
	}
	var result attemptResult
	if candidate.ID() == g.self {
		result = g.attemptLocal(ctx, r)
	} else {
		result = g.peerClient.attempt(ctx, r.request, candidate, number, func(r loadReport) {
			g.endpointStats.RecordLoad(g.now(), candidate.ID(), r.load)
			if r.draining {
				g.endpointStats.RecordDraining(g.now(), candidate.ID())
			}
			if r.leavingUpstream != "" {
				g.members.recordLeaving(candidate.ID(), r.leavingUpstream)
			}
		})
	}
	if result.answer == nil {
		finish(verdictOf(ctx, result))
		return result
	}
	status := result.answer.Status()
	result.answer = withOnClose(result.answer, func() {
		if status >= http.StatusInternalServerError {
			finish(route.VerdictFailure)
			return
		}
		finish(route.VerdictSuccess)
	})
	return result
}

// attemptLocal admits the call to the upstream on this VM.
func (g *Ingress) attemptLocal(ctx context.Context, r *routedCall) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, r.request.deadline)
	answer, refusal := g.admitter.Admit(ctx, g.now(), r.request)
	load := g.admitter.Load(g.now())
	g.endpointStats.RecordLoad(g.now(), g.self, route.NewLoad(load.InFlight(), load.Limit(), load.Queued(), load.Wait()).
		WithRate(g.admitter.rate.ownRate(g.now(), r.request)))
	if refusal != nil {
		cancel()
		return attemptResult{refusal: refusal, outcome: toAttemptOutcome(refusal)}
	}
	return attemptResult{answer: withOnClose(answer, cancel), outcome: route.Answered{}}
}

// deadline returns the deadline of the call: the caller's, bounded by the route's timeout and the node's maximum.
func (g *Ingress) deadline(now time.Time, c *call.Call, rt configuration.Route) time.Time {
	timeout := rt.Timeout()
	if timeout <= 0 {
		timeout = g.defaultTimeout
	}
	d := now.Add(min(timeout, g.maxTimeout))
	if c.Deadline().IsZero() {
		return d
	}
	return earlierOf(d, c.Deadline())
}

// budget returns the retry budget of a service. A changed percentage starts a new budget.
func (g *Ingress) budget(service string, percent int) *route.Budget {
	key := budgetKey{service: service, percent: percent}
	if b, ok := g.budgets.Get(key); ok {
		return b
	}
	var budget *route.Budget
	g.budgets.Update(key, func(old *route.Budget, found bool) (*route.Budget, bool) {
		budget = old
		if !found {
			budget = route.NewBudget(percent)
		}
		return budget, true
	})
	return budget
}

func (g *Ingress) getRandom() *rand.Rand {
	if r, ok := g.randomPool.Get().(*rand.Rand); ok {
		return r
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// effectiveRank returns the rank of the route, or the rank that the caller requests if it is not more urgent.
func effectiveRank(c *call.Call, rt configuration.Route, policy configuration.Policy) string {
	requested, ok := policy.Rank(c.Rank())
	if !ok {
		return rt.Rank()
	}
	routeRank, ok := policy.Rank(rt.Rank())
	if ok && requested.Priority() < routeRank.Priority() {
		return rt.Rank()
	}
	return requested.Name()
}

// isMostUrgent reports whether no rank of the policy is more urgent.
func isMostUrgent(policy configuration.Policy, rank configuration.Rank) bool {
	for _, r := range policy.Ranks() {
		if r.Priority() < rank.Priority() {
			return false
		}
	}
	return true
}

// combineRefusals returns the refusal that holds for both attempts: an earlier one that may have run takes precedence
// over a later one that did not.
func combineRefusals(earlier, later *call.Refusal) *call.Refusal {
	if earlier != nil && earlier.Outcome() != call.OutcomeNotRun && later.Outcome() == call.OutcomeNotRun {
		return earlier
	}
	return later
}

// toAttemptOutcome returns the outcome of an attempt that ended with a refusal, for the retry decision. A refusal with an
// unknown outcome counts as lost, unless it only says that an earlier request with the idempotency key is in progress.
func toAttemptOutcome(r *call.Refusal) route.AttemptOutcome {
	if r.Outcome() != call.OutcomeUnknown {
		return route.NewRefused(r)
	}
	if r.Reason() == call.ReasonInProgress {
		return route.NewRefused(r)
	}
	return route.NewLost(r.Reason() == call.ReasonUpstreamFailed)
}

// verdictOf returns what an attempt without an answer indicates about the health of the endpoint.
func verdictOf(ctx context.Context, result attemptResult) route.Verdict {
	switch result.outcome.(type) {
	case route.NotSent:
		if ctx.Err() != nil {
			return route.VerdictNeutral
		}
		return route.VerdictUnreachable
	case route.Refused:
		switch result.refusal.Reason() {
		case call.ReasonUpstreamUnavailable:
			return route.VerdictFailure
		case call.ReasonUpstreamShed:
			return route.VerdictRefused
		default:
			// The load reported with the refusal already shows how busy the endpoint is.
			return route.VerdictNeutral
		}
	default:
		if ctx.Err() != nil {
			return route.VerdictNeutral
		}
		return route.VerdictFailure
	}
}
