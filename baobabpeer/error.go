package baobabpeer

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds, sorted. Only KindLimit, KindRefused and KindUnreachable guarantee that nothing was sent on a stream.
const (
	// KindCancelled means that the context ended or the stream was reset locally.
	KindCancelled Kind = "cancelled"
	// KindClosed means that the transport is closed.
	KindClosed Kind = "closed"
	// KindLimit means that a local limit on links or streams was reached.
	KindLimit Kind = "limit"
	// KindMalformed means that the peer sent an invalid frame or message, or a frame out of order.
	KindMalformed Kind = "malformed"
	// KindOversize means that a message or chunk exceeds its size limit.
	KindOversize Kind = "oversize"
	// KindRefused means that authentication failed.
	KindRefused Kind = "refused"
	// KindReset means that the peer reset the stream.
	KindReset Kind = "reset"
	// KindTruncated means that the stream or its link ended early; it wraps io.ErrUnexpectedEOF.
	KindTruncated Kind = "truncated"
	// KindUnreachable means that no link could be established.
	KindUnreachable Kind = "unreachable"
)

// An Error reports the failed operation, its kind and the cause.
type Error struct {
	operation string
	kind      Kind
	cause     error // May be nil.
}

func newError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// NotSent reports whether the operation failed before anything was sent on a stream.
func (e *Error) NotSent() bool {
	return e.kind == KindLimit || e.kind == KindRefused || e.kind == KindUnreachable
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("peer: %s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("peer: %s: %s: %v", e.operation, e.kind, e.cause)
}
