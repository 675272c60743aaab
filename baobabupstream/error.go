package baobabupstream

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	KindInvalid  Kind = "invalid"  // The announcement is malformed.
	KindConflict Kind = "conflict" // Another upstream is announced and alive.
	KindGone     Kind = "gone"     // The upstream has left; only a later start may announce it again.
	KindLate     Kind = "late"     // A later announcement of the same process has arrived before.
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

// Operation returns what was attempted.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.operation, e.kind, e.text) }
