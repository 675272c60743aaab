package baobabnode

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	claim "github.com/baobabdale/baobabdale/baobabclaim"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

const (
	// claimTimeout bounds writing a claim, so that with a slow platform the caller gets store_unavailable while it still
	// waits.
	claimTimeout = time.Second
	// releaseTimeout bounds how long a refusal is delayed by the release of its claim.
	releaseTimeout = 500 * time.Millisecond
	// recordTimeout bounds recording an answer, which happens after the answer has been sent. It exceeds a long platform
	// outage, because until the answer is recorded, a repeated request gets an unknown outcome. Few answers are pending
	// during an outage, because no new claims are granted.
	recordTimeout = time.Hour
	// recordBackoffMin and recordBackoffMax bound the pause between two attempts to record an answer.
	recordBackoffMin = 100 * time.Millisecond
	recordBackoffMax = 2 * time.Second
)

// An admissionRequest is a call with the parameters that the admitting node needs.
type admissionRequest struct {
	call       *call.Call
	service    string
	rank       string
	deadline   time.Time // On this node's clock.
	idempotent bool
	// freeSlotOnly makes the admitting node refuse the call at once unless a slot is free for it.
	freeSlotOnly bool
	// nested is set for a call that an upstream makes while it runs another one.
	nested bool
	// objective is when the latency target of the root call passes, on this node's clock; zero: none.
	objective time.Time
	// version is the version that the upstream must have; empty: any.
	version string
	// fairCaller is the caller to which admission charges a nested call; empty: the call's account or caller.
	fairCaller string
	// rootKind is the kind of the call that makes a nested call, on the node where the call entered; otherwise empty.
	rootKind string
	// nestedNumber counts the nested calls of a root, from 1, on the node where the call entered; otherwise 0.
	nestedNumber int
}

// admissionCaller returns the caller among which admission shares a rank.
func (r *admissionRequest) admissionCaller() string {
	return cmp.Or(r.fairCaller, r.call.Account(), r.call.Caller())
}

// kind returns the group of calls of similar cost that the call belongs to.
func (r *admissionRequest) kind() string {
	return r.call.Method() + " " + firstPathSegment(r.call.Target())
}

// claimOwner returns the owner of the call's idempotency key. No caller can take the name of an account: header fields
// cannot contain the zero byte.
func (r *admissionRequest) claimOwner() string {
	if a := r.call.Account(); a != "" {
		return "\x00" + a
	}
	return r.call.Caller()
}

// needsClaim reports whether the call must claim its idempotency key before it runs.
func (r *admissionRequest) needsClaim() bool {
	return !r.idempotent && r.call.IdempotencyKey() != ""
}

// An Admitter admits calls to the upstream on this VM: it checks the quarantine, claims idempotency keys, queues calls
// and sends them to the upstream.
type Admitter struct {
	board        *blackboard.Board
	gate         *admission.Gate
	registry     *upstream.Registry
	ledger       *claim.Ledger
	quarantine   *quarantineController
	dependencies *dependencyController
	rollouts     *rolloutController
	rate         *upstreamRate
	now          func() time.Time
	logger       *log.Logger
	decisions    *decisionLog
	shutdown     atomic.Pointer[shutdown] // Nil unless the node is stopping.

	pendingRecords sync.WaitGroup // Answers that are being recorded.
	crashChecks    sync.WaitGroup // Calls of which it is not known yet whether the upstream crashed.
}

// Load returns the load of the admission gate.
func (a *Admitter) Load(now time.Time) admission.Load { return a.gate.Load(now) }

// Admit runs a call on the upstream on this VM, or refuses it. The ingress cancels ctx when it gives up.
func (a *Admitter) Admit(ctx context.Context, now time.Time, r *admissionRequest) (*call.Answer, *call.Refusal) {
	if refusal := a.check(now, r); refusal != nil {
		return nil, refusal
	}
	if !r.needsClaim() {
		return a.execute(ctx, r, nil)
	}
	return a.admitWithClaim(ctx, now, r)
}

// check refuses calls that cannot run here, before anything is written or queued.
func (a *Admitter) check(now time.Time, r *admissionRequest) *call.Refusal {
	if !now.Before(r.deadline) {
		return call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, "the deadline passed before admission")
	}
	if remaining, refused := a.quarantine.refusedFor(now, r); refused {
		return call.NewRefusal(call.ReasonQuarantined, call.OutcomeNotRun,
			"equal requests crashed upstreams").WithRetryAfter(remaining)
	}
	if a.gate.Load(now).Draining() || a.shutsDownBefore(r.deadline) {
		return call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "the node is stopping")
	}
	u := a.board.Upstream()
	if u == nil || u.Service() != r.service || !u.AcceptsCalls() {
		return call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "no upstream of the service is ready here")
	}
	if refusal := a.rollouts.check(now, r); refusal != nil {
		return refusal
	}
	return a.dependencies.admitRoot(now, r)
}

// stop sets the course of the shutdown. From then on, calls that it would interrupt are refused.
func (a *Admitter) stop(d shutdown) { a.shutdown.Store(&d) }

// stopping returns the course of the shutdown, or nil unless the node is stopping.
func (a *Admitter) stopping() *shutdown { return a.shutdown.Load() }

func (a *Admitter) shutsDownBefore(deadline time.Time) bool {
	d := a.stopping()
	return d != nil && d.end.Before(deadline)
}

// admitWithClaim claims the key before it queues the call, so that no slot is held while the platform answers. Once
// claimed, the call is detached from ctx: it runs to its end and its answer is recorded even if the caller disconnects,
// so that the caller gets it when it repeats the request.
func (a *Admitter) admitWithClaim(ctx context.Context, now time.Time, r *admissionRequest) (*call.Answer, *call.Refusal) {
	key := claim.NewKey(r.service, r.claimOwner(), r.call.IdempotencyKey())
	claimCtx, cancel := context.WithDeadline(ctx, earlierOf(r.deadline, now.Add(claimTimeout)))
	result, err := a.ledger.Claim(claimCtx, now, key, claim.NewDigest(r.call.Method(), r.call.Target(), r.call.Body()))
	cancel()
	if err != nil {
		a.logger.Warn("claim failed", "call", r.call.ID(), "err", err)
		return nil, call.NewRefusal(call.ReasonStoreUnavailable, call.OutcomeNotRun, "the claim could not be written").WithRetryAfter(time.Second)
	}
	switch t := result.(type) {
	case claim.Granted:
		detached, stop := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
		answer, refusal := a.execute(detached, r, &t)
		if answer == nil {
			stop()
			return nil, refusal
		}
		return withOnClose(answer, stop), nil
	case claim.InProgress:
		return nil, call.NewRefusal(call.ReasonInProgress, call.OutcomeUnknown, "a request under this key was started before").WithRetryAfter(time.Second)
	case claim.Finished:
		return replayRecord(t.Record())
	case claim.Mismatch:
		return nil, call.NewRefusal(call.ReasonKeyReused, call.OutcomeNotRun, "the key belongs to another request")
	default:
		return nil, call.NewRefusal(call.ReasonStoreUnavailable, call.OutcomeNotRun, "unexpected result of the claim")
	}
}

// execute queues the call and sends it to the upstream. A claim is released if the call certainly did not run. If the
// upstream answered, the answer is recorded in the claim once it has been read.
func (a *Admitter) execute(ctx context.Context, r *admissionRequest, granted *claim.Granted) (*call.Answer, *call.Refusal) {
	request := admission.NewRequest(r.rank, r.admissionCaller(), r.deadline, r.kind()).WithObjective(r.objective)
	if r.nested {
		request = request.WithNested()
	}
	if r.freeSlotOnly {
		request = request.WithFreeSlotOnly()
	}
	permit, refusal := a.gate.Acquire(ctx, a.now(), request)
	if refusal != nil {
		a.releaseClaim(granted)
		return nil, refusal
	}
	u := a.board.Upstream()
	if u == nil || !u.AcceptsCalls() {
		permit.Release(a.now(), admission.OutcomeCancelled)
		a.releaseClaim(granted)
		return nil, call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "the upstream left while the call waited")
	}
	untrack := a.dependencies.track(a.now(), r)
	result := u.Client().Do(ctx, a.now(), r.call, r.deadline)
	untrack()
	switch t := result.(type) {
	case *upstream.Answered:
		a.observeNotice(u, t.Notice())
		a.rate.observe(a.now(), t.Answer().Header())
		a.rollouts.observe(a.now(), r, t.Answer().Status() < http.StatusInternalServerError, a.now().Sub(permit.GrantedAt()))
		return a.handleAnswer(ctx, r, permit, granted, u, t)
	case upstream.Refused:
		if n, ok := t.Notice(); ok {
			a.observeNotice(u, n)
		}
		permit.Release(a.now(), admission.OutcomeShed)
		a.releaseClaim(granted)
		return nil, call.NewRefusal(call.ReasonUpstreamShed, call.OutcomeNotRun, "the upstream shed the call").WithRetryAfter(t.RetryAfter())
	case upstream.NotSent:
		permit.Release(a.now(), admission.OutcomeFailed)
		u.HealthTracker().RecordCall(a.now(), false)
		a.releaseClaim(granted)
		return nil, call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "the upstream could not be reached")
	case upstream.ConnectionFailed:
		permit.Release(a.now(), admission.OutcomeFailed)
		a.reportFailure(r, u, t.Err())
		return nil, call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "the connection to the upstream failed while it ran the call")
	case upstream.Cancelled:
		permit.Release(a.now(), admission.OutcomeCancelled)
		return nil, a.refuseInterrupted(granted, t.Sent(), call.ReasonAnswerLost, "the call was cancelled")
	case upstream.DeadlineExceeded:
		a.rollouts.observe(a.now(), r, true, a.now().Sub(permit.GrantedAt()))
		permit.Release(a.now(), admission.OutcomeCancelled)
		return nil, a.refuseInterrupted(granted, t.Sent(), call.ReasonDeadlinePassed, "the deadline passed while the upstream ran the call")
	default:
		permit.Release(a.now(), admission.OutcomeFailed)
		return nil, call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "unexpected result of the upstream")
	}
}

// observeNotice records what an upstream says about itself in an answer.
func (a *Admitter) observeNotice(u *blackboard.Upstream, n upstream.Notice) {
	if a.registry.ObserveNotice(u.ID(), n) {
		limit, limited := n.RequestLimit()
		a.logger.Info("upstream gave notice", "upstream", u.ID(), "limited", limited, "request_limit", limit,
			"leaving", n.Leaving())
	}
}

// leavingUpstream returns the id of the upstream on this VM if it has said that it leaves, or an empty string.
func (a *Admitter) leavingUpstream() string {
	if u := a.board.Upstream(); u != nil && a.registry.Notice().Leaving() {
		return u.ID()
	}
	return ""
}

// handleAnswer returns the answer with a body that releases the permit and records the answer once it has been read to
// its end. If ctx is done first, the call is cancelled at the upstream and the permit is released, even if nobody reads
// the body any more.
func (a *Admitter) handleAnswer(ctx context.Context, r *admissionRequest, permit *admission.Permit,
	granted *claim.Granted, u *blackboard.Upstream, t *upstream.Answered) (*call.Answer, *call.Refusal) {
	answer := t.Answer()
	started := permit.GrantedAt()
	outcome := admission.OutcomeSucceeded
	if answer.Status() >= http.StatusInternalServerError {
		outcome = admission.OutcomeFailed
	}
	u.HealthTracker().RecordCall(a.now(), outcome == admission.OutcomeSucceeded)
	body := &admittedBody{inner: answer.Body(), capture: granted != nil}
	body.onEnd = func(complete bool) {
		if !complete {
			outcome = admission.OutcomeCancelled
		}
		permit.Release(a.now(), outcome)
		a.logIfLate(r, permit, u, answer.Status())
		if err := t.Failure(); err != nil && !isContextError(err) {
			a.reportFailure(r, u, err)
		}
		if !complete {
			return
		}
		a.quarantine.reportSuccess(a.now(), r, started)
		if granted != nil {
			a.recordAnswer(*granted, answer, body)
		}
	}
	context.AfterFunc(ctx, func() { body.finish(false) })
	return call.NewAnswer(answer.Status(), answer.Header(), body), nil
}

// logIfLate logs the queueing and running time of a call if their sum exceeds the latency target of its rank.
func (a *Admitter) logIfLate(r *admissionRequest, permit *admission.Permit, u *blackboard.Upstream, status int) {
	now, target := a.now(), a.gate.LatencyTarget(r.rank)
	ran := now.Sub(permit.GrantedAt())
	if target <= 0 || permit.Wait()+ran <= target {
		return
	}
	a.decisions.write(now, "call late at its upstream", "call", r.call.ID(), "service", r.service, "rank", r.rank,
		"upstream", u.ID(), "queued", permit.Wait(), "ran", ran, "target", target, "status", status)
}

// recordAnswer records the answer in the background. Until then, a repeated request is refused as in progress.
func (a *Admitter) recordAnswer(granted claim.Granted, answer *call.Answer, body *admittedBody) {
	record := claim.NewStatusRecord(answer.Status())
	if !body.overflow {
		record = claim.NewRecord(answer.Status(), answer.Header(), body.captured.Bytes())
	}
	a.pendingRecords.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := a.writeRecord(ctx, granted, record); err != nil {
			a.logger.Warn("failed to record answer", "err", err)
		}
	})
}

// writeRecord writes the record of an answer. It retries with backoff while the platform is unavailable.
func (a *Admitter) writeRecord(ctx context.Context, granted claim.Granted, record claim.Record) error {
	for pause := recordBackoffMin; ; pause = min(2*pause, recordBackoffMax) {
		err := a.ledger.Finish(ctx, a.now(), granted, record)
		failure, ok := errors.AsType[*claim.Error](err)
		if !ok || failure.Kind() != claim.KindUnavailable {
			return err
		}
		if !sleep(ctx, pause) {
			return err
		}
	}
}

// releaseClaim releases the claim, if there is one, of a call that certainly did not run.
func (a *Admitter) releaseClaim(granted *claim.Granted) {
	if granted == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := a.ledger.Release(ctx, a.now(), *granted); err != nil {
		a.logger.Warn("failed to release claim", "err", err)
	}
}

// refuseInterrupted refuses a call that was cancelled or reached its deadline. If the call was not sent, its claim is
// released.
func (a *Admitter) refuseInterrupted(granted *claim.Granted, sent bool, reason call.Reason, detail string) *call.Refusal {
	if sent {
		return call.NewRefusal(reason, call.OutcomeUnknown, detail)
	}
	a.releaseClaim(granted)
	return call.NewRefusal(reason, call.OutcomeNotRun, detail)
}

// reportFailure reports that the connection to the upstream failed while it ran a request. That was a crash only if the
// process of the upstream has ended: an answer that is lost or malformed ends its connection, too.
func (a *Admitter) reportFailure(r *admissionRequest, u *blackboard.Upstream, cause error) {
	failedAt := a.now()
	u.HealthTracker().RecordCall(failedAt, false)
	a.crashChecks.Go(func() {
		if !u.Client().ProcessEnded(context.Background()) {
			a.quarantine.recordBrokenCall(failedAt, r, u, cause)
			return
		}
		a.quarantine.reportCrash(failedAt, r, u)
	})
}

// replayRecord returns the recorded answer of an earlier call with the same idempotency key.
func replayRecord(record claim.Record) (*call.Answer, *call.Refusal) {
	if !record.Complete() {
		return nil, call.NewRefusal(call.ReasonInProgress, call.OutcomeRan, "the request was run; its answer is too large to be kept")
	}
	return call.NewReplayedAnswer(record.Status(), record.Header(), io.NopCloser(bytes.NewReader(record.Body()))), nil
}
