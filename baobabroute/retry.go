package baobabroute

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// minRemaining is the shortest time until the deadline in which a retry can be answered: one round trip within a
// failure domain.
const minRemaining = time.Millisecond

// maxDispatches limits the attempts of a call, including those that nodes refuse, so that a call that every node refuses
// does not cost one message for each node of a large service.
const maxDispatches = 5

// RetryReason is the reason why a call is retried. Each has a counter.
type RetryReason string

// Retry reasons, sorted.
const (
	RetryLost       RetryReason = "lost"         // Outcome unknown, call idempotent.
	RetryNoFreeSlot RetryReason = "no_free_slot" // Asked for a free slot only, and refused; takes no budget.
	RetryNotSent    RetryReason = "not_sent"     // Certainly not started.
	RetryRefused    RetryReason = "refused"      // Refused as not run.
)

// RetryReasons returns all retry reasons, sorted.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryLost, RetryNoFreeSlot, RetryNotSent, RetryRefused}
}

// StopReason is the reason why a call is not retried. Each has a counter.
type StopReason string

// Stop reasons, sorted.
const (
	StopAbandoned      StopReason = "abandoned" // The caller cancelled the call.
	StopAnswered       StopReason = "answered"
	StopBudget         StopReason = "budget"
	StopCrash          StopReason = "crash" // The call may have crashed the upstream.
	StopDeadline       StopReason = "deadline"
	StopMaxAttempts    StopReason = "max_attempts"
	StopNoRoom         StopReason = "no_room" // Nearly all attempts at the service are refused for lack of room.
	StopRetriedEarlier StopReason = "retried_earlier"
	StopUnsafe         StopReason = "unsafe"  // May have run and is not idempotent.
	StopUseless        StopReason = "useless" // Another endpoint would refuse as well, or must not be tried.
)

// StopReasons returns all stop reasons, sorted.
func StopReasons() []StopReason {
	return []StopReason{
		StopAbandoned, StopAnswered, StopBudget, StopCrash, StopDeadline, StopMaxAttempts, StopNoRoom, StopRetriedEarlier, StopUnsafe,
		StopUseless,
	}
}

// A RetryDecision is one of Retry, Stop.
type RetryDecision interface{ retryDecision() }

// Retry says that the call should be sent to another endpoint.
type Retry struct{ reason RetryReason }

// Reason returns why the call is retried.
func (r Retry) Reason() RetryReason { return r.reason }

// Stop says that the attempt's outcome is final.
type Stop struct{ reason StopReason }

// Reason returns why the call is not retried.
func (s Stop) Reason() StopReason { return s.reason }

func (Retry) retryDecision() {}
func (Stop) retryDecision()  {}

// DecideRetry decides whether a call is sent again. It uses the budget only if it returns Retry.
func DecideRetry(now time.Time, a Attempt, b *Budget) RetryDecision {
	if _, ok := a.outcome.(Answered); ok {
		return Stop{StopAnswered}
	}
	if a.retriedEarlier {
		return Stop{StopRetriedEarlier}
	}
	decision := a.decideByOutcome()
	if _, ok := decision.(Stop); ok {
		return decision
	}
	if a.upstreamAttempts >= a.maxAttempts || a.dispatches >= maxDispatches {
		return Stop{StopMaxAttempts}
	}
	if !a.deadline.IsZero() && now.Add(minRemaining).After(a.deadline) {
		return Stop{StopDeadline}
	}
	if b.NoRoom(now) {
		return Stop{StopNoRoom}
	}
	if !a.allowedBy(now, b) {
		return Stop{StopBudget}
	}
	return decision
}

// allowedBy reports whether the budget allows another attempt, and counts it if so. It counts as a retry if this attempt
// may have reached an upstream, and else as a redispatch, whose percentage is higher.
func (a Attempt) allowedBy(now time.Time, b *Budget) bool {
	if a.MayHaveReachedUpstream() && a.lessUrgent {
		return b.AllowLessUrgentRetry(now)
	}
	if a.MayHaveReachedUpstream() {
		return b.AllowRetry(now)
	}
	return b.AllowRedispatch(now)
}

// MayHaveReachedUpstream reports whether the attempt may have reached an upstream.
func (a Attempt) MayHaveReachedUpstream() bool { return MayHaveReachedUpstream(a.outcome) }

// MayHaveReachedUpstream reports whether an attempt with the outcome may have reached an upstream. An attempt that a node
// refused as not run has not, unless the upstream shed it.
func MayHaveReachedUpstream(o AttemptOutcome) bool {
	switch o := o.(type) {
	case NotSent:
		return false
	case Refused:
		return o.refusal.Outcome() != call.OutcomeNotRun || o.refusal.Reason() == call.ReasonUpstreamShed
	default:
		return true
	}
}

// decideByOutcome decides by the outcome alone, without regard to limits and budget.
func (a Attempt) decideByOutcome() RetryDecision {
	switch o := a.outcome.(type) {
	case NotSent:
		return Retry{RetryNotSent}
	case Refused:
		return a.decideAfterRefusal(o.refusal)
	case Lost:
		return a.decideAfterLoss(o.crashed)
	default:
		return Stop{StopUnsafe}
	}
}

func (a Attempt) decideAfterRefusal(r *call.Refusal) RetryDecision {
	if r.Outcome() != call.OutcomeNotRun {
		if r.Reason() == call.ReasonInProgress {
			return Stop{StopUseless}
		}
		return a.decideAfterLoss(r.Reason() == call.ReasonUpstreamFailed)
	}
	if !mayBeAcceptedElsewhere(r.Reason()) {
		return Stop{StopUseless}
	}
	return Retry{RetryRefused}
}

func (a Attempt) decideAfterLoss(crashed bool) RetryDecision {
	if crashed {
		return Stop{StopCrash}
	}
	if !a.idempotent {
		return Stop{StopUnsafe}
	}
	return Retry{RetryLost}
}

// mayBeAcceptedElsewhere reports whether another endpoint may accept a call that one refused with reason r. A refusal
// because the caller exceeds its share is final, because trying every endpoint would bypass the share.
func mayBeAcceptedElsewhere(r call.Reason) bool {
	switch r {
	case call.ReasonDeadlineUnmeetable, call.ReasonDraining, call.ReasonNotReady, call.ReasonPeerUnreachable,
		call.ReasonQueueFull, call.ReasonUpstreamFailed, call.ReasonUpstreamShed, call.ReasonUpstreamUnavailable:
		return true
	default:
		return false
	}
}
