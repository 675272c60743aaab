package baobabclaim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// errClosed is the cause of operations after Close.
var errClosed = errors.New("ledger is closed")

// A batcher commits operations on different rows in one transaction. It is safe for concurrent use.
type batcher struct {
	store     Store
	window    time.Duration // Time for which a batch collects operations; 0 commits each alone, at once.
	most      int           // Operations in a batch.
	timeLimit time.Duration // Of one commit.
	tomb      *tomb.Tomb

	mu      sync.Mutex
	pending []*operation
	closed  bool
}

// submit queues the operation.
func (b *batcher) submit(o *operation) {
	if b.window == 0 {
		b.commit([]*operation{o})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		o.finish(outcomeNotApplied, 0, errClosed)
		return
	}
	b.pending = append(b.pending, o)
	switch {
	case len(b.pending) >= b.most:
		b.flush()
	case len(b.pending) == 1:
		time.AfterFunc(b.window, b.flushLate)
	}
}

func (b *batcher) flushLate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
}

// flush starts the commit of the pending operations. Operations on a row that is already in the batch wait for
// the next one. The lock must be held.
func (b *batcher) flush() {
	if b.closed || len(b.pending) == 0 {
		return
	}
	rows := map[string]bool{}
	var batch, later []*operation
	for _, o := range b.pending {
		if rows[o.step.key] || len(batch) >= b.most {
			later = append(later, o)
			continue
		}
		rows[o.step.key] = true
		batch = append(batch, o)
	}
	b.pending = later
	if len(later) > 0 {
		time.AfterFunc(b.window, b.flushLate)
	}
	b.tomb.Go(func() error {
		b.commit(batch)
		return nil
	})
}

// withdraw reports whether the operation was still pending; it is then never sent.
func (b *batcher) withdraw(o *operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.pending, o)
	if i < 0 {
		return false
	}
	b.pending = slices.Delete(b.pending, i, i+1)
	return true
}

// close fails pending and later operations.
func (b *batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, o := range b.pending {
		o.finish(outcomeNotApplied, 0, errClosed)
	}
	b.pending = nil
}

// commit commits the operations. A conflict fails only the operations whose condition did not hold; the rest is
// tried again without them, or in halves when the store does not say which ones they are.
func (b *batcher) commit(batch []*operation) {
	for len(batch) > 0 {
		revision, err := b.send(batch)
		var failure *StoreError
		switch {
		case err == nil:
			finishAll(batch, outcomeCommitted, revision, nil)
			return
		case !errors.As(err, &failure) || failure.kind == StoreUnknownOutcome:
			finishAll(batch, outcomeUnknown, 0, err)
			return
		case failure.kind != StoreConflict:
			finishAll(batch, outcomeNotApplied, 0, err)
			return
		case len(batch) == 1:
			finishAll(batch, outcomeConflict, 0, err)
			return
		}
		var lost, rest []*operation
		for _, o := range batch {
			if slices.Contains(failure.conflicts, o.step.key) {
				lost = append(lost, o)
			} else {
				rest = append(rest, o)
			}
		}
		if len(lost) == 0 {
			half := len(batch) / 2
			b.commit(batch[:half])
			rest = batch[half:]
		}
		finishAll(lost, outcomeConflict, 0, err)
		batch = rest
	}
}

func (b *batcher) send(batch []*operation) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeLimit)
	defer cancel()
	steps := make([]Step, len(batch))
	for i, o := range batch {
		steps[i] = o.step
	}
	return b.store.Commit(ctx, steps)
}

func finishAll(batch []*operation, result outcome, revision uint64, err error) {
	for _, o := range batch {
		o.finish(result, revision, err)
	}
}
