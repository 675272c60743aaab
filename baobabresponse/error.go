package baobabresponse

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	KindMalformed Kind = "malformed" // The head of the response is not valid HTTP/1.
	KindCutOff    Kind = "cut_off"   // The connection broke before the response was known to be complete.
)

// An Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	err       error
}

func malformed(format string, arguments ...any) *Error {
	return &Error{operation: "read head", kind: KindMalformed, err: fmt.Errorf(format, arguments...)}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.operation, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// KindOf returns the kind of err, or an empty string if it is not an Error.
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.kind
	}
	return ""
}
