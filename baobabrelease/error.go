package baobabrelease

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure, sorted. Only KindUnknownOutcome leaves open whether the operation took effect.
const (
	// KindCandidateChanged means that the candidate does not have the expected digest: it has changed since the
	// operator was shown it.
	KindCandidateChanged Kind = "candidate_changed"
	// KindConflict means that edits or the head were changed concurrently, or that an operation id was
	// reused for another candidate.
	KindConflict Kind = "conflict"
	// KindInvalid means that an argument or a stored text is malformed.
	KindInvalid Kind = "invalid"
	// KindNotFound means that a snapshot is missing from the object store.
	KindNotFound Kind = "not_found"
	// KindRejected means that the candidate is not a valid configuration.
	KindRejected Kind = "rejected"
	// KindUnavailable means that the platform is unavailable and the operation had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknownOutcome means that the operation may have taken effect or may still do so. It is safe to repeat an
	// accept with the same operation id, and a change of an edit with the same expected revision.
	KindUnknownOutcome Kind = "unknown_outcome"
)

// An Error is a failed operation on a Repository.
type Error struct {
	operation   string
	kind        Kind
	currentEdit *Edit                   // The edit that caused a conflict; nil if it was deleted.
	problems    []configuration.Problem // Why the candidate was rejected.
	cause       error
}

func newError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// newPlatformError converts a platform error. The failed operation had no effect, unless the kind is
// KindUnknownOutcome.
func newPlatformError(operation string, err error) *Error {
	kind := KindUnavailable
	switch platform.KindOf(err) {
	case platform.KindConflict:
		kind = KindConflict
	case platform.KindInvalid:
		kind = KindInvalid
	case platform.KindNotFound:
		kind = KindNotFound
	case platform.KindUnknownOutcome:
		kind = KindUnknownOutcome
	}
	return newError(operation, kind, err)
}

// Operation returns the operation that failed, for example "accept".
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// CurrentEdit returns the edit that caused a conflict, and whether there is one; it may have been deleted.
func (e *Error) CurrentEdit() (Edit, bool) {
	if e.currentEdit == nil {
		return Edit{}, false
	}
	return *e.currentEdit, true
}

// Text returns the cause without the operation and the kind.
func (e *Error) Text() string {
	switch {
	case len(e.problems) > 0:
		return "the configuration is not valid"
	case e.cause == nil:
		return string(e.kind)
	case e.kind == KindConflict && platform.KindOf(e.cause) == platform.KindConflict:
		return "changed concurrently by another operator"
	default:
		return e.cause.Error()
	}
}

// Problems returns why the candidate was rejected.
func (e *Error) Problems() []configuration.Problem { return e.problems }

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.operation, e.kind)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if len(e.problems) > 0 {
		lines := make([]string, 0, len(e.problems))
		for _, p := range e.problems {
			lines = append(lines, p.String())
		}
		text += ": " + strings.Join(lines, "; ")
	}
	return text
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
