package baobabupstream

import (
	"errors"

	response "github.com/baobabdale/baobabdale/baobabresponse"
)

// A FailureCause classifies why a call that was sent has no whole answer.
type FailureCause string

// Failure causes.
const (
	FailureMalformed  FailureCause = "malformed"  // The head or the trailer is no HTTP.
	FailureOtherCall  FailureCause = "other_call" // The answer belongs to another call.
	FailureIncomplete FailureCause = "incomplete" // The answer or its connection ended early.
)

// FailureCauses returns all causes.
func FailureCauses() []FailureCause {
	return []FailureCause{FailureMalformed, FailureOtherCall, FailureIncomplete}
}

// FailureCauseOf returns the cause for the error of a ConnectionFailed, or for Answered.Failure.
func FailureCauseOf(err error) FailureCause {
	switch {
	case errors.Is(err, errWrongCallID):
		return FailureOtherCall
	case response.KindOf(err) == response.KindMalformed, errors.Is(err, errTrailerName), errors.Is(err, errProtocolSwitch):
		return FailureMalformed
	default:
		return FailureIncomplete
	}
}
