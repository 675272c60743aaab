package baobabconfiguration

import "fmt"

// ErrorKind classifies a failure.
type ErrorKind string

// Kinds of failure, sorted.
const (
	// ErrorDigest means that the content does not have the expected digest.
	ErrorDigest ErrorKind = "digest"
	// ErrorInvalid means that a text, an encoding or a set of resources is malformed.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorReference means that a referenced resource does not exist.
	ErrorReference ErrorKind = "reference"
	// ErrorSize means that a size limit is exceeded.
	ErrorSize ErrorKind = "size"
	// ErrorWrongBase means that a delta was applied to a version other than its base.
	ErrorWrongBase ErrorKind = "wrong_base"
)

// An Error is a failed operation on a configuration.
type Error struct {
	operation string
	kind      ErrorKind
	cause     error
}

func newError(operation string, kind ErrorKind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// Operation returns the operation that failed, for example "decode snapshot".
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the failure.
func (e *Error) Kind() ErrorKind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.operation, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
