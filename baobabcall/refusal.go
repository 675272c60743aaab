package baobabcall

import (
	"fmt"
	"net/http"
	"time"
)

// Reason is the reason why a call was refused. Each reason has a counter.
type Reason string

// Refusal reasons, sorted.
const (
	ReasonAnswerLost          Reason = "answer_lost"
	ReasonCallerShare         Reason = "caller_share"
	ReasonDeadlinePassed      Reason = "deadline_passed"
	ReasonDeadlineUnmeetable  Reason = "deadline_unmeetable"
	ReasonDependencyShort     Reason = "dependency_short" // A service that the upstream calls lacks room.
	ReasonDraining            Reason = "draining"
	ReasonInProgress          Reason = "in_progress"
	ReasonKeyRequired         Reason = "key_required"
	ReasonKeyReused           Reason = "key_reused"
	ReasonMalformed           Reason = "malformed"
	ReasonNoFreeSlot          Reason = "no_free_slot" // Between nodes only.
	ReasonNoRoute             Reason = "no_route"
	ReasonNoUpstream          Reason = "no_upstream"
	ReasonNotReady            Reason = "not_ready"
	ReasonOverLimit           Reason = "over_limit" // The account exceeds its limit.
	ReasonOverSize            Reason = "over_size"
	ReasonPeerUnreachable     Reason = "peer_unreachable"
	ReasonProofExpired        Reason = "proof_expired" // The node cannot prove that the caller's key is still valid.
	ReasonQuarantined         Reason = "quarantined"
	ReasonQueueFull           Reason = "queue_full"
	ReasonRetryBudget         Reason = "retry_budget"
	ReasonStoreUnavailable    Reason = "store_unavailable"
	ReasonUnauthorized        Reason = "unauthorized" // No known key.
	ReasonUpstreamFailed      Reason = "upstream_failed"
	ReasonUpstreamShed        Reason = "upstream_shed"
	ReasonUpstreamUnavailable Reason = "upstream_unavailable"
)

// Reasons returns all refusal reasons, sorted.
func Reasons() []Reason {
	return []Reason{
		ReasonAnswerLost, ReasonCallerShare, ReasonDeadlinePassed, ReasonDeadlineUnmeetable,
		ReasonDependencyShort, ReasonDraining, ReasonInProgress, ReasonKeyRequired, ReasonKeyReused, ReasonMalformed,
		ReasonNoFreeSlot, ReasonNoRoute, ReasonNoUpstream, ReasonNotReady, ReasonOverLimit, ReasonOverSize,
		ReasonPeerUnreachable, ReasonProofExpired, ReasonQuarantined, ReasonQueueFull,
		ReasonRetryBudget, ReasonStoreUnavailable, ReasonUnauthorized, ReasonUpstreamFailed, ReasonUpstreamShed,
		ReasonUpstreamUnavailable,
	}
}

// Status returns the HTTP status code of a refusal with this reason.
func (r Reason) Status() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonMalformed, ReasonKeyRequired:
		return http.StatusBadRequest
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonInProgress:
		return http.StatusConflict
	case ReasonOverSize:
		return http.StatusRequestEntityTooLarge
	case ReasonCallerShare, ReasonOverLimit, ReasonQueueFull:
		return http.StatusTooManyRequests
	case ReasonDeadlinePassed, ReasonDeadlineUnmeetable:
		return http.StatusGatewayTimeout
	case ReasonAnswerLost, ReasonUpstreamFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// defaultRetryAfter is the Retry-After time of temporary refusals without a better estimate. The mesh takes about this
// long to detect a failed node and to stop sending it calls.
const defaultRetryAfter = time.Second

// temporary reports whether the same call may succeed after waiting, without any change to it.
func (r Reason) temporary() bool {
	switch r {
	case ReasonCallerShare, ReasonDeadlineUnmeetable, ReasonDependencyShort, ReasonDraining, ReasonInProgress,
		ReasonNoFreeSlot, ReasonNoUpstream, ReasonNotReady, ReasonOverLimit, ReasonPeerUnreachable, ReasonProofExpired, ReasonQuarantined, ReasonQueueFull, ReasonRetryBudget, ReasonStoreUnavailable,
		ReasonUpstreamShed, ReasonUpstreamUnavailable:
		return true
	default:
		return false
	}
}

// A Refusal tells the caller why its call got no answer from an upstream, and whether the call was run.
type Refusal struct {
	reason     Reason
	outcome    Outcome
	detail     string
	retryAfter time.Duration // Zero when the refusal is not temporary.
}

// NewRefusal returns a refusal. A temporary refusal asks the caller to retry after one second, unless the call was run.
func NewRefusal(reason Reason, outcome Outcome, detail string) *Refusal {
	r := &Refusal{reason: reason, outcome: outcome, detail: detail}
	// A call that was run is not run again, so waiting does not help.
	if reason.temporary() && outcome != OutcomeRan {
		r.retryAfter = defaultRetryAfter
	}
	return r
}

// WithRetryAfter returns a copy that asks the caller to retry after d. A d of zero means that there is no estimate and
// keeps the current value.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	if d > 0 {
		c.retryAfter = d
	}
	return &c
}

// Reason returns the reason.
func (r *Refusal) Reason() Reason { return r.reason }

// Outcome returns whether the call was or may have been run.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Detail returns a human-readable description.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns how long to wait before a retry, or zero when a retry does not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("call refused: %s (%s): %s", r.reason, r.outcome, r.detail)
}
