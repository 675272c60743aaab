package baobabsettings

import (
	"slices"
	"strings"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that the contents of the file are invalid; the problems say where and why.
	KindInvalid Kind = "invalid"
	// KindUnreadable means that the settings file could not be read.
	KindUnreadable Kind = "unreadable"
)

// An Error reports that settings could not be used.
type Error struct {
	operation string
	kind      Kind
	problems  []Problem // Sorted by their String; not empty.
	cause     error     // Nil for KindInvalid.
}

func newError(operation string, kind Kind, problems []Problem, cause error) *Error {
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return &Error{operation: operation, kind: kind, problems: slices.Compact(problems), cause: cause}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind.
func (e *Error) Kind() Kind { return e.kind }

// Problems returns all problems, sorted.
func (e *Error) Problems() []Problem { return slices.Clone(e.problems) }

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error returns one line per problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
