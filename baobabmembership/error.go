package baobabmembership

import "fmt"

// Kind classifies an Error.
type Kind string

// KindInvalid means that a record violates an invariant.
const KindInvalid Kind = "invalid"

// An Error describes a failed operation of this package.
type Error struct {
	operation string
	kind      Kind
	detail    string
}

// Operation returns the name of the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("membership: %s: %s: %s", e.operation, e.kind, e.detail)
}
