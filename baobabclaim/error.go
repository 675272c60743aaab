package baobabclaim

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindBusy means that too many claims are in flight; the key is not claimed.
	KindBusy Kind = "busy"
	// KindUnavailable means that the store did not confirm the operation in time. After Claim it means that the key is
	// not held: the call must not run, and a row that may have been written is released in the background.
	KindUnavailable Kind = "unavailable"
	// KindStale means that another claim holds the row, or that the row no longer exists or is finished.
	KindStale Kind = "stale"
	// KindMalformed means that the stored row cannot be decoded, or that the row to store cannot be encoded.
	KindMalformed Kind = "malformed"
)

// An Error describes a failed operation on a ledger.
type Error struct {
	operation string
	kind      Kind
	err       error
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{operation: operation, kind: kind, err: err}
}

// Kind returns the class of the error.
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
