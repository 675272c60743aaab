package baobabclaim

// A pendingWrite is a write that waits for its transaction.
type pendingWrite struct {
	write ConditionalWrite
	done  chan struct{} // Closed when the fields below are set.

	outcome  outcome
	revision uint64 // When committed.
	err      error
}

func newPendingWrite(write ConditionalWrite) *pendingWrite {
	return &pendingWrite{write: write, done: make(chan struct{})}
}

func (w *pendingWrite) complete(result outcome, revision uint64, err error) {
	w.outcome, w.revision, w.err = result, revision, err
	close(w.done)
}
