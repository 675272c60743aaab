package baobabnode

import (
	"bytes"
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
	// claimTimeout bounds the write of a claim, so that a slow platform is answered as store_unavailable while the
	// caller still waits.
	claimTimeout = time.Second
	// releaseTimeout bounds how long a refusal waits for its claim to be released.
	releaseTimeout = 500 * time.Millisecond
	// finishTimeout bounds the recording of an answer, which runs after the answer was sent. It outlasts a long outage
	// of the platform, because until the answer is recorded a caller that sends the request again is told unknown. No
	// new claims are granted during an outage, so few answers wait.
	finishTimeout = time.Hour
	// finishPause and finishPauseMost bound the pause between two tries to record an answer.
	finishPause     = 100 * time.Millisecond
	finishPauseMost = 2 * time.Second
)

// An admission request is a call as the admitting node sees it.
type admissionRequest struct {
	call       *call.Call
	service    string
	rank       string
	deadline   time.Time // On this node's clock.
	idempotent bool
}

// keyed reports whether the call runs under a claim.
func (r *admissionRequest) keyed() bool {
	return !r.idempotent && r.call.IdempotencyKey() != ""
}

// An Admitter admits calls to the upstream on this VM: it checks the quarantine, claims idempotency keys, queues,
// and hands calls to the upstream.
type Admitter struct {
	board      *blackboard.Board
	gate       *admission.Gate
	ledger     *claim.Ledger
	quarantine *quarantineController
	now        func() time.Time
	logger     *log.Logger
	decisions  *decisionLog
	end        atomic.Pointer[time.Time] // When a stopping node ends; nil while it is not stopping.

	finishing sync.WaitGroup // Records of answers that are being written.
}

// Load returns the state of the queue.
func (a *Admitter) Load(now time.Time) admission.Load { return a.gate.Load(now) }

// Admit serves a call with the upstream on this VM. The context ends when the ingress gives up.
func (a *Admitter) Admit(ctx context.Context, now time.Time, r *admissionRequest) (*call.Answer, *call.Refusal) {
	if refusal := a.check(now, r); refusal != nil {
		return nil, refusal
	}
	if !r.keyed() {
		return a.run(ctx, r, nil)
	}
	return a.admitKeyed(ctx, now, r)
}

// check refuses what cannot be run here, before anything is written or queued.
func (a *Admitter) check(now time.Time, r *admissionRequest) *call.Refusal {
	if !now.Before(r.deadline) {
		return call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, "the deadline passed before admission")
	}
	if left, refused := a.quarantine.refused(now, r); refused {
		return call.NewRefusal(call.ReasonQuarantined, call.OutcomeNotRun,
			"equal requests crashed upstreams").WithRetryAfter(left)
	}
	if a.gate.Load(now).Draining() || a.endsBefore(r.deadline) {
		return call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "the node is stopping")
	}
	u := a.board.Upstream()
	if u == nil || u.Service() != r.service || !u.TakesCalls() {
		return call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "no upstream of the service is ready here")
	}
	return nil
}

// endAt takes note that the node is stopping. Calls that could be in progress at the end are refused from now on.
func (a *Admitter) endAt(end time.Time) { a.end.Store(&end) }

func (a *Admitter) endsBefore(deadline time.Time) bool {
	end := a.end.Load()
	return end != nil && end.Before(deadline)
}

// admitKeyed claims the key first, so that no slot is held while the platform answers. The call is detached from
// the ingress: once claimed it ends and its answer is recorded even when the caller is gone, so that the caller
// finds it when it sends the request again.
func (a *Admitter) admitKeyed(ctx context.Context, now time.Time, r *admissionRequest) (*call.Answer, *call.Refusal) {
	key := claim.NewKey(r.service, r.call.Caller(), r.call.IdempotencyKey())
	claimCtx, cancel := context.WithDeadline(ctx, earlier(r.deadline, now.Add(claimTimeout)))
	result, err := a.ledger.Claim(claimCtx, now, key, claim.NewDigest(r.call.Method(), r.call.Target(), r.call.Body()))
	cancel()
	if err != nil {
		a.logger.Warn("claim failed", "call", r.call.ID(), "err", err)
		return nil, call.NewRefusal(call.ReasonStoreUnavailable, call.OutcomeNotRun, "the claim could not be written").WithRetryAfter(time.Second)
	}
	switch t := result.(type) {
	case claim.Granted:
		detached, stop := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
		answer, refusal := a.run(detached, r, &t)
		if answer == nil {
			stop()
			return nil, refusal
		}
		return withClose(answer, stop), nil
	case claim.InProgress:
		return nil, call.NewRefusal(call.ReasonInProgress, call.OutcomeUnknown, "a request under this key was started before").WithRetryAfter(time.Second)
	case claim.Finished:
		return replay(t.Record())
	case claim.Mismatch:
		return nil, call.NewRefusal(call.ReasonKeyReused, call.OutcomeNotRun, "the key belongs to another request")
	default:
		return nil, call.NewRefusal(call.ReasonStoreUnavailable, call.OutcomeNotRun, "unexpected result of the claim")
	}
}

// run queues the call and hands it to the upstream. A claim is released when the call surely did not run, and
// finished with the answer otherwise.
func (a *Admitter) run(ctx context.Context, r *admissionRequest, granted *claim.Granted) (*call.Answer, *call.Refusal) {
	request := admission.NewRequest(r.rank, r.call.Caller(), r.deadline, r.call.Method()+" "+pathOf(r.call.Target()))
	permit, refusal := a.gate.Acquire(ctx, a.now(), request)
	if refusal != nil {
		a.release(granted)
		return nil, refusal
	}
	u := a.board.Upstream()
	if u == nil || !u.TakesCalls() {
		permit.Release(a.now(), admission.OutcomeCancelled)
		a.release(granted)
		return nil, call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "the upstream left while the call waited")
	}
	switch t := u.Client().Do(ctx, a.now(), r.call, r.deadline).(type) {
	case *upstream.Answered:
		return a.answered(ctx, r, permit, granted, u, t)
	case upstream.Refused:
		permit.Release(a.now(), admission.OutcomeShed)
		a.release(granted)
		return nil, call.NewRefusal(call.ReasonUpstreamShed, call.OutcomeNotRun, "the upstream shed the call").WithRetryAfter(t.RetryAfter())
	case upstream.NotSent:
		permit.Release(a.now(), admission.OutcomeFailed)
		u.Evidence().Live(a.now(), false)
		a.release(granted)
		return nil, call.NewRefusal(call.ReasonUpstreamUnavailable, call.OutcomeNotRun, "the upstream could not be reached")
	case upstream.Died:
		permit.Release(a.now(), admission.OutcomeFailed)
		a.died(r, u)
		return nil, call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "the connection to the upstream failed while it ran the call")
	case upstream.Cancelled:
		permit.Release(a.now(), admission.OutcomeCancelled)
		return nil, a.abandoned(granted, t.Sent(), call.ReasonAnswerLost, "the call was cancelled")
	case upstream.DeadlineReached:
		permit.Release(a.now(), admission.OutcomeCancelled)
		return nil, a.abandoned(granted, t.Sent(), call.ReasonDeadlinePassed, "the deadline passed while the upstream ran the call")
	default:
		permit.Release(a.now(), admission.OutcomeFailed)
		return nil, call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "unexpected result of the upstream")
	}
}

// answered passes the answer on and, when it has been read, returns the permit and records the answer. When ctx ends
// first, the call is cancelled at the upstream and the permit is returned, whether or not anybody reads on.
func (a *Admitter) answered(ctx context.Context, r *admissionRequest, permit *admission.Permit, granted *claim.Granted, u *blackboard.Upstream, t *upstream.Answered) (*call.Answer, *call.Refusal) {
	answer := t.Answer()
	started := permit.Since()
	outcome := admission.OutcomeSucceeded
	if answer.Status() >= http.StatusInternalServerError {
		outcome = admission.OutcomeFailed
	}
	u.Evidence().Live(a.now(), outcome == admission.OutcomeSucceeded)
	body := &admittedBody{inner: answer.Body(), keep: granted != nil}
	body.done = func(complete bool) {
		if !complete {
			outcome = admission.OutcomeCancelled
		}
		permit.Release(a.now(), outcome)
		a.noteLate(r, permit, u, answer.Status())
		if err := t.Failure(); err != nil && !ended(err) {
			a.died(r, u)
		}
		if !complete {
			return
		}
		a.quarantine.succeeded(a.now(), r, started)
		if granted != nil {
			a.finish(*granted, answer, body)
		}
	}
	context.AfterFunc(ctx, func() { body.end(false) })
	return call.NewAnswer(answer.Status(), answer.Header(), body), nil
}

// noteLate writes down where the time went of a call whose wait and run together took longer than its rank's target.
func (a *Admitter) noteLate(r *admissionRequest, permit *admission.Permit, u *blackboard.Upstream, status int) {
	now, target := a.now(), a.gate.Target(r.rank)
	ran := now.Sub(permit.Since())
	if target <= 0 || permit.Wait()+ran <= target {
		return
	}
	a.decisions.write(now, "call late at its upstream", "call", r.call.ID(), "service", r.service, "rank", r.rank,
		"upstream", u.ID(), "queued", permit.Wait(), "ran", ran, "target", target, "status", status)
}

// finish records the answer in the background; until then a repeated request is answered as in progress.
func (a *Admitter) finish(granted claim.Granted, answer *call.Answer, body *admittedBody) {
	record := claim.NewStatusRecord(answer.Status())
	if !body.overflow {
		record = claim.NewRecord(answer.Status(), answer.Header(), body.kept.Bytes())
	}
	a.finishing.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := a.record(ctx, granted, record); err != nil {
			a.logger.Warn("answer not recorded", "err", err)
		}
	})
}

// record writes the record of an answer, again and again while the platform does not confirm it.
func (a *Admitter) record(ctx context.Context, granted claim.Granted, record claim.Record) error {
	for pause := finishPause; ; pause = min(2*pause, finishPauseMost) {
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

// release gives a claim back when its call surely did not run.
func (a *Admitter) release(granted *claim.Granted) {
	if granted == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := a.ledger.Release(ctx, a.now(), *granted); err != nil {
		a.logger.Warn("claim not released yet", "err", err)
	}
}

// abandoned answers a call whose caller no longer waits.
func (a *Admitter) abandoned(granted *claim.Granted, sent bool, reason call.Reason, detail string) *call.Refusal {
	if sent {
		return call.NewRefusal(reason, call.OutcomeUnknown, detail)
	}
	a.release(granted)
	return call.NewRefusal(reason, call.OutcomeNotRun, detail)
}

// died reports a possible crash of the upstream. A connection that had served calls before may have been closed as
// idle, but a crash cannot be told from that, and a request that did not cause it is cleared by its next run.
func (a *Admitter) died(r *admissionRequest, u *blackboard.Upstream) {
	u.Evidence().Live(a.now(), false)
	a.quarantine.crashed(a.now(), r, u)
}

// replay answers with the record of an earlier call under the same key.
func replay(record claim.Record) (*call.Answer, *call.Refusal) {
	if !record.Complete() {
		return nil, call.NewRefusal(call.ReasonInProgress, call.OutcomeRan, "the request was run; its answer is too large to be kept")
	}
	return call.NewReplayedAnswer(record.Status(), record.Header(), io.NopCloser(bytes.NewReader(record.Body()))), nil
}
