package baobabupstream

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	KindInvalid    Kind = "invalid"  // The announcement is malformed.
	KindConflict   Kind = "conflict" // Another upstream is announced and alive.
	KindGone       Kind = "gone"     // The upstream has left or was replaced; only a later process may announce it.
	KindOutOfOrder Kind = "late"     // A later announcement of the same process has already arrived.
)

// An Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	text      string
}

func newError(operation string, kind Kind, format string, arguments ...any) *Error {
	return &Error{operation: operation, kind: kind, text: fmt.Sprintf(format, arguments...)}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.operation, e.kind, e.text) }
