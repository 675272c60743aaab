package baobabclaim

// outcome is what became of an operation.
type outcome int

const (
	outcomeCommitted outcome = iota
	outcomeConflict
	outcomeNotApplied
	outcomeUnknown
)

// An operation is one step that waits for its transaction.
type operation struct {
	step Step
	done chan struct{} // Closed when the fields below are set.

	outcome  outcome
	revision uint64 // When committed.
	err      error
}

func newOperation(step Step) *operation {
	return &operation{step: step, done: make(chan struct{})}
}

func (o *operation) finish(result outcome, revision uint64, err error) {
	o.outcome, o.revision, o.err = result, revision, err
	close(o.done)
}
