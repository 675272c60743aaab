package baobabclaim

import "fmt"

// Kind classifies a failure.
type Kind string

const (
	// KindBusy means that too many claims are in flight; the key is not claimed.
	KindBusy Kind = "busy"
	// KindUnavailable means that the store did not confirm the operation in time. After Claim it means that the
	// key is not held: the call must not run, and a row that may have been written is released in the background.
	KindUnavailable Kind = "unavailable"
	// KindStale means that another attempt holds the row, or that it is gone or finished.
	KindStale Kind = "stale"
	// KindMalformed means that the stored row cannot be read.
	KindMalformed Kind = "malformed"
)

// An Error is a failed operation on a ledger.
type Error struct {
	operation string
	kind      Kind
	err       error
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{operation: operation, kind: kind, err: err}
}

// Kind returns the kind.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("claim: %s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("claim: %s: %s: %v", e.operation, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
