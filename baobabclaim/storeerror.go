package baobabclaim

import "fmt"

// StoreKind says what is known about a commit that failed.
type StoreKind string

const (
	// StoreConflict means that a condition did not hold; nothing was applied.
	StoreConflict StoreKind = "conflict"
	// StoreNotApplied means that nothing was or will be applied.
	StoreNotApplied StoreKind = "not_applied"
	// StoreUnknownOutcome means that the transaction may have been applied, or may be later.
	StoreUnknownOutcome StoreKind = "unknown_outcome"
)

// A StoreError is a failed commit.
type StoreError struct {
	kind      StoreKind
	conflicts []string
	err       error
}

// NewStoreError returns an error. Conflicts are the keys whose condition did not hold, as far as known.
func NewStoreError(kind StoreKind, conflicts []string, err error) *StoreError {
	return &StoreError{kind: kind, conflicts: conflicts, err: err}
}

// Kind returns the kind.
func (e *StoreError) Kind() StoreKind { return e.kind }

// Conflicts returns the keys whose condition did not hold; empty when not known.
func (e *StoreError) Conflicts() []string { return e.conflicts }

// Error implements error.
func (e *StoreError) Error() string { return fmt.Sprintf("store: %s: %v", e.kind, e.err) }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.err }
