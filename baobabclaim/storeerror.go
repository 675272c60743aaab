package baobabclaim

import "fmt"

// StoreErrorKind classifies a StoreError by what is known about the failed commit.
type StoreErrorKind string

const (
	// StoreConflict means that a condition did not hold; nothing was applied.
	StoreConflict StoreErrorKind = "conflict"
	// StoreNotApplied means that nothing was applied, and nothing will be applied later.
	StoreNotApplied StoreErrorKind = "not_applied"
	// StoreUnknownOutcome means that the transaction may have been applied, or may still be applied later.
	StoreUnknownOutcome StoreErrorKind = "unknown_outcome"
)

// A StoreError describes a failed commit.
type StoreError struct {
	kind      StoreErrorKind
	conflicts []string // Keys of rows; empty when not known.
	err       error
}

// NewStoreError returns the error of a failed commit. Conflicts are the keys whose condition did not hold, if known.
func NewStoreError(kind StoreErrorKind, conflicts []string, err error) *StoreError {
	return &StoreError{kind: kind, conflicts: conflicts, err: err}
}

// Kind returns the class of the error.
func (e *StoreError) Kind() StoreErrorKind { return e.kind }

// Conflicts returns the keys whose condition did not hold, or none when they are not known.
func (e *StoreError) Conflicts() []string { return e.conflicts }

// Error implements error.
func (e *StoreError) Error() string { return fmt.Sprintf("store: %s: %v", e.kind, e.err) }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.err }
