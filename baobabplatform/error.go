package baobabplatform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies a failure by what is known about its effect.
type Kind string

// Kinds of failure, sorted.
const (
	// KindConflict means that a condition did not hold and nothing was applied.
	KindConflict Kind = "conflict"
	// KindGone means that the requested history of changes is no longer available.
	KindGone Kind = "gone"
	// KindInvalid means that the request exceeds a limit or that the platform rejected it; nothing was applied.
	KindInvalid Kind = "invalid"
	// KindNotFound means that the object does not exist.
	KindNotFound Kind = "not_found"
	// KindThrottled means that the platform rejected the request because of a rate limit; nothing was applied.
	KindThrottled Kind = "throttled"
	// KindUnavailable means that a read failed, or that a write was definitely not applied.
	KindUnavailable Kind = "unavailable"
	// KindUnknownOutcome means that a write may have been applied, or may still be applied later.
	KindUnknownOutcome Kind = "unknown_outcome"
)

// An Error is a failed operation of a Store.
type Error struct {
	operation string
	kind      Kind
	rows      []Row  // Current rows with the keys of a conflicting transaction's conditions, without absent rows.
	era       uint64 // Of the store that responded; 0 if unknown.
	cause     error
}

// NewError returns an error. The cause may be nil.
func NewError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// NewConflict returns an error of KindConflict with the current rows that have the keys of the conditions.
func NewConflict(operation string, rows []Row) *Error {
	return &Error{operation: operation, kind: KindConflict, rows: rows}
}

// Operation returns the operation that failed, for example "commit".
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Era returns the era of the store that responded with the error, or 0 if it is unknown.
func (e *Error) Era() uint64 { return e.era }

// Row returns the current row with the key after a conflict, and whether it exists.
func (e *Error) Row(key string) (Row, bool) {
	for _, r := range e.rows {
		if r.key == key {
			return r, true
		}
	}
	return Row{}, false
}

// Rows returns the current rows with the keys of the conditions after a conflict. Absent rows are left out.
func (e *Error) Rows() []Row { return e.rows }

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("platform %s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("platform %s: %s: %v", e.operation, e.kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the *Error in the chain of err, or an empty kind if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
