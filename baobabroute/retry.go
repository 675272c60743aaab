package baobabroute

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// minRemaining is the time below which a retry cannot be answered: one exchange within a failure domain.
const minRemaining = time.Millisecond

// maxOffers bounds how often a call is offered to nodes, so that a call that all of them refuse does not cost each of a
// large service's nodes a message.
const maxOffers = 5

// RetryReason names why a call is retried. Each has a counter.
type RetryReason string

// Retry reasons, sorted.
const (
	RetryLost    RetryReason = "lost"     // Outcome unknown, call idempotent.
	RetryNotSent RetryReason = "not_sent" // Surely not started.
	RetryRefused RetryReason = "refused"  // Refused as not run.
)

// RetryReasons returns all retry reasons, sorted.
func RetryReasons() []RetryReason { return []RetryReason{RetryLost, RetryNotSent, RetryRefused} }

// StopReason names why a call is not retried. Each has a counter.
type StopReason string

// Stop reasons, sorted.
const (
	StopAbandoned      StopReason = "abandoned" // The caller has left.
	StopAnswered       StopReason = "answered"
	StopBudget         StopReason = "budget"
	StopCrash          StopReason = "crash" // The call may have crashed the upstream.
	StopDeadline       StopReason = "deadline"
	StopMaxAttempts    StopReason = "max_attempts"
	StopRetriedEarlier StopReason = "retried_earlier"
	StopUnsafe         StopReason = "unsafe"  // May have run and is not idempotent.
	StopUseless        StopReason = "useless" // Another endpoint would refuse as well, or must not be asked.
)

// StopReasons returns all stop reasons, sorted.
func StopReasons() []StopReason {
	return []StopReason{
		StopAbandoned, StopAnswered, StopBudget, StopCrash, StopDeadline, StopMaxAttempts, StopRetriedEarlier, StopUnsafe,
		StopUseless,
	}
}

// A RetryDecision is one of Retry, Stop.
type RetryDecision interface{ retryDecision() }

// Retry says that the call should be sent to another endpoint.
type Retry struct{ reason RetryReason }

// Reason returns why.
func (r Retry) Reason() RetryReason { return r.reason }

// Stop says that the attempt's ending is final.
type Stop struct{ reason StopReason }

// Reason returns why.
func (s Stop) Reason() StopReason { return s.reason }

func (Retry) retryDecision() {}
func (Stop) retryDecision()  {}

// DecideRetry decides whether a call is sent again. It takes from the budget only when it returns Retry.
func DecideRetry(now time.Time, a Attempt, b *Budget) RetryDecision {
	if _, ok := a.ending.(Answered); ok {
		return Stop{StopAnswered}
	}
	if a.retried {
		return Stop{StopRetriedEarlier}
	}
	decision := a.safety()
	if _, ok := decision.(Stop); ok {
		return decision
	}
	if a.number >= a.maxAttempts || a.offers >= maxOffers {
		return Stop{StopMaxAttempts}
	}
	if !a.deadline.IsZero() && now.Add(minRemaining).After(a.deadline) {
		return Stop{StopDeadline}
	}
	if !a.take(now, b) {
		return Stop{StopBudget}
	}
	return decision
}

// take takes from the budget of retries after an attempt that may have reached an upstream, and from the wider one of
// offers after one that a node refused before its upstream saw it.
func (a Attempt) take(now time.Time, b *Budget) bool {
	if a.Reached() {
		return b.Take(now)
	}
	return b.TakeOffer(now)
}

// Reached reports whether the attempt may have reached an upstream.
func (a Attempt) Reached() bool { return Reached(a.ending) }

// Reached reports whether an attempt with the ending may have reached an upstream. A refusal by a node does not, except
// where its upstream has shed the call.
func Reached(e Ending) bool {
	switch e := e.(type) {
	case NotSent:
		return false
	case Refused:
		return e.refusal.Outcome() != call.OutcomeNotRun || e.refusal.Reason() == call.ReasonUpstreamShed
	default:
		return true
	}
}

// safety decides by the ending alone.
func (a Attempt) safety() RetryDecision {
	switch e := a.ending.(type) {
	case NotSent:
		return Retry{RetryNotSent}
	case Refused:
		return a.afterRefusal(e.refusal)
	case Lost:
		return a.afterLoss(e.crashed)
	default:
		return Stop{StopUnsafe}
	}
}

func (a Attempt) afterRefusal(r *call.Refusal) RetryDecision {
	if r.Outcome() != call.OutcomeNotRun {
		if r.Reason() == call.ReasonInProgress {
			return Stop{StopUseless}
		}
		return a.afterLoss(r.Reason() == call.ReasonUpstreamFailed)
	}
	if !helpsElsewhere(r.Reason()) {
		return Stop{StopUseless}
	}
	return Retry{RetryRefused}
}

func (a Attempt) afterLoss(crashed bool) RetryDecision {
	if crashed {
		return Stop{StopCrash}
	}
	if !a.idempotent {
		return Stop{StopUnsafe}
	}
	return Retry{RetryLost}
}

// helpsElsewhere reports whether another endpoint may accept what one refused. A refusal for the caller's share is
// final, because trying every endpoint would evade the share.
func helpsElsewhere(r call.Reason) bool {
	switch r {
	case call.ReasonDeadlineUnmeetable, call.ReasonDraining, call.ReasonNotReady, call.ReasonPeerUnreachable,
		call.ReasonQueueFull, call.ReasonUpstreamFailed, call.ReasonUpstreamShed, call.ReasonUpstreamUnavailable:
		return true
	default:
		return false
	}
}
