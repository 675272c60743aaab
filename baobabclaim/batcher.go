package baobabclaim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// errClosed is the error of writes after Close.
var errClosed = errors.New("ledger is closed")

// A batcher commits writes to different rows in one transaction. It is safe for concurrent use.
type batcher struct {
	store         Store
	delay         time.Duration // Time for which a batch collects writes; 0 commits each write alone and at once.
	maxSize       int           // Maximum number of writes in a batch.
	commitTimeout time.Duration // Of one transaction.
	tomb          *tomb.Tomb

	mu      sync.Mutex
	pending []*pendingWrite
	closed  bool
}

// submit queues a write, or commits it at once when the delay is 0.
func (b *batcher) submit(w *pendingWrite) {
	if b.delay == 0 {
		b.commit([]*pendingWrite{w})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		w.complete(outcomeNotApplied, 0, errClosed)
		return
	}
	b.pending = append(b.pending, w)
	switch {
	case len(b.pending) >= b.maxSize:
		b.flushLocked()
	case len(b.pending) == 1:
		time.AfterFunc(b.delay, b.flushPending)
	}
}

func (b *batcher) flushPending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flushLocked()
}

// flushLocked starts the commit of a batch of pending writes. A write to a row that is already in the batch waits for
// the next batch. The caller must hold b.mu.
func (b *batcher) flushLocked() {
	if b.closed || len(b.pending) == 0 {
		return
	}
	rows := map[string]bool{}
	var batch, deferred []*pendingWrite
	for _, w := range b.pending {
		if rows[w.write.key] || len(batch) >= b.maxSize {
			deferred = append(deferred, w)
			continue
		}
		rows[w.write.key] = true
		batch = append(batch, w)
	}
	b.pending = deferred
	if len(deferred) > 0 {
		time.AfterFunc(b.delay, b.flushPending)
	}
	b.tomb.Go(func() error {
		b.commit(batch)
		return nil
	})
}

// removePending removes a write that was not sent yet and reports whether it did; such a write is never sent.
func (b *batcher) removePending(w *pendingWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.pending, w)
	if i < 0 {
		return false
	}
	b.pending = slices.Delete(b.pending, i, i+1)
	return true
}

// close fails pending and later writes.
func (b *batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, w := range b.pending {
		w.complete(outcomeNotApplied, 0, errClosed)
	}
	b.pending = nil
}

// commit commits a batch. A conflict fails only the writes whose condition did not hold; the rest is retried without
// them, or in halves when the store does not report which writes conflict.
func (b *batcher) commit(batch []*pendingWrite) {
	for len(batch) > 0 {
		revision, err := b.commitOnce(batch)
		var failure *StoreError
		switch {
		case err == nil:
			completeAll(batch, outcomeCommitted, revision, nil)
			return
		case !errors.As(err, &failure) || failure.kind == StoreUnknownOutcome:
			completeAll(batch, outcomeUnknown, 0, err)
			return
		case failure.kind != StoreConflict:
			completeAll(batch, outcomeNotApplied, 0, err)
			return
		case len(batch) == 1:
			completeAll(batch, outcomeConflict, 0, err)
			return
		}
		var conflicting, rest []*pendingWrite
		for _, w := range batch {
			if slices.Contains(failure.conflicts, w.write.key) {
				conflicting = append(conflicting, w)
			} else {
				rest = append(rest, w)
			}
		}
		if len(conflicting) == 0 {
			half := len(batch) / 2
			b.commit(batch[:half])
			rest = batch[half:]
		}
		completeAll(conflicting, outcomeConflict, 0, err)
		batch = rest
	}
}

func (b *batcher) commitOnce(batch []*pendingWrite) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.commitTimeout)
	defer cancel()
	writes := make([]ConditionalWrite, len(batch))
	for i, w := range batch {
		writes[i] = w.write
	}
	return b.store.Commit(ctx, writes)
}

func completeAll(batch []*pendingWrite, result outcome, revision uint64, err error) {
	for _, w := range batch {
		w.complete(result, revision, err)
	}
}
