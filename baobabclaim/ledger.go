package baobabclaim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

// maxWriteTries bounds the writes of one operation. Only lost responses and expired rows need more than one.
const maxWriteTries = 4

// A Ledger claims, finishes and releases idempotency keys. It is safe for concurrent use.
type Ledger struct {
	store            Store
	batcher          *batcher
	retention        time.Duration
	operationTimeout time.Duration
	sweepInterval    time.Duration
	instanceID       uint64
	sequence         atomic.Uint64
	inFlight         chan struct{} // One element per claim in flight.
	tomb             tomb.Tomb

	mu      sync.Mutex
	orphans []*orphan // Guarded by mu; oldest first.
}

// NewLedger returns a ledger and starts its goroutines, which Close stops.
func NewLedger(store Store, options ...Option) *Ledger {
	l := &Ledger{
		store:            store,
		retention:        defaultRetention,
		operationTimeout: defaultOperationTimeout,
		sweepInterval:    defaultSweepInterval,
		instanceID:       newInstanceID(),
		inFlight:         make(chan struct{}, defaultMaxInFlight),
	}
	l.batcher = &batcher{
		store: store, delay: defaultBatchDelay, maxSize: defaultBatchSize, commitTimeout: defaultOperationTimeout,
		tomb: &l.tomb,
	}
	for _, o := range options {
		o(l)
	}
	l.tomb.Go(l.sweepLoop)
	return l
}

// newInstanceID returns a random id, which no other ledger has.
func newInstanceID() uint64 {
	var b [8]byte
	// Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Close rejects further operations and waits for those in flight. Orphans that remain are not released.
func (l *Ledger) Close() error {
	l.batcher.close()
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// Claim claims the key for a request. The call may run only if the result is Granted. After an error this claim does
// not hold the key.
func (l *Ledger) Claim(ctx context.Context, now time.Time, key Key, requestDigest Digest) (Result, error) {
	const operation = "claim"
	select {
	case l.inFlight <- struct{}{}:
		defer func() { <-l.inFlight }()
	default:
		return nil, newError(operation, KindBusy, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, l.operationTimeout)
	defer cancel()
	g := Granted{key: key, requestDigest: requestDigest, token: l.nextToken(), claimedAt: now}
	result, err := l.claimRow(ctx, now, &g)
	if granted, ok := result.(Granted); ok {
		return granted, nil
	}
	if g.unconfirmedWrite {
		l.addOrphan(now, g)
	}
	if err != nil {
		return nil, err
	}
	return result, nil
}

// nextToken returns a new fencing token.
func (l *Ledger) nextToken() FencingToken {
	return FencingToken{instanceID: l.instanceID, sequence: l.sequence.Add(1)}
}

// claimRow writes the row until its state is known. It sets g.unconfirmedWrite when a write has an unknown outcome and
// may be applied later.
func (l *Ledger) claimRow(ctx context.Context, now time.Time, g *Granted) (Result, error) {
	const operation = "claim"
	running := entry{token: g.token.String(), requestDigest: g.requestDigest, state: stateRunning, claimedAt: now}
	value, err := running.encode()
	if err != nil {
		return nil, newError(operation, KindMalformed, err)
	}
	write := putIfAbsent(g.key.rowKey(), value)
	for range maxWriteTries {
		w := l.commitWrite(ctx, write)
		switch w.outcome {
		case outcomeCommitted:
			g.revision = w.revision
			return *g, nil
		case outcomeNotApplied:
			return nil, newError(operation, KindUnavailable, w.err)
		case outcomeUnknown:
			g.unconfirmedWrite = true
		case outcomeConflict:
		}
		row, found, err := l.store.Get(ctx, g.key.rowKey())
		if err != nil {
			return nil, newError(operation, KindUnavailable, err)
		}
		if !found {
			// Repeating the write with the same token is safe: the condition lets only one of the writes be applied.
			write = putIfAbsent(g.key.rowKey(), value)
			continue
		}
		e, err := decodeEntry(row.value)
		if err != nil {
			return nil, newError(operation, KindMalformed, err)
		}
		if e.token != running.token && e.expired(now, l.retention) {
			write = putIfRevision(g.key.rowKey(), row.revision, value)
			continue
		}
		return resultFromEntry(e, row.revision, g), nil
	}
	return nil, newError(operation, KindUnavailable, errors.New("row changed on every try"))
}

// resultFromEntry returns the result of a claim that found an existing row.
func resultFromEntry(e entry, revision uint64, g *Granted) Result {
	switch {
	case e.token == g.token.String():
		g.revision = revision
		return *g
	case e.requestDigest != g.requestDigest:
		return Mismatch{}
	case e.state == stateFinished:
		return Finished{record: e.record}
	default:
		return InProgress{since: e.claimedAt}
	}
}

// commitWrite commits a write and waits for its outcome. When the context ends first, the outcome is unknown, unless
// the write was not sent yet.
func (l *Ledger) commitWrite(ctx context.Context, write ConditionalWrite) *pendingWrite {
	w := newPendingWrite(write)
	l.batcher.submit(w)
	select {
	case <-w.done:
		return w
	case <-ctx.Done():
	}
	// The pending write may still complete in another goroutine, so its fields must not be accessed.
	result := newPendingWrite(write)
	if l.batcher.removePending(w) {
		result.complete(outcomeNotApplied, 0, ctx.Err())
	} else {
		result.complete(outcomeUnknown, 0, ctx.Err())
	}
	return result
}

// Finish records the response of a call that ran.
func (l *Ledger) Finish(ctx context.Context, _ time.Time, g Granted, record Record) error {
	const operation = "finish"
	finished := entry{
		token: g.token.String(), requestDigest: g.requestDigest, state: stateFinished, claimedAt: g.claimedAt,
		record: record,
	}
	value, err := finished.encode()
	if err != nil {
		return newError(operation, KindMalformed, err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.operationTimeout)
	defer cancel()
	return l.updateRow(ctx, operation, g, func(revision uint64) ConditionalWrite {
		return putIfRevision(g.key.rowKey(), revision, value)
	}, stateFinished)
}

// Release releases a key whose call did not run, so that it can be claimed again. When the store does not confirm the
// release in time, it is retried in the background.
func (l *Ledger) Release(ctx context.Context, now time.Time, g Granted) error {
	const operation = "release"
	ctx, cancel := context.WithTimeout(ctx, l.operationTimeout)
	defer cancel()
	err := l.updateRow(ctx, operation, g, func(revision uint64) ConditionalWrite {
		return deleteIfRevision(g.key.rowKey(), revision)
	}, stateAbsent)
	var failure *Error
	unavailable := errors.As(err, &failure) && failure.kind == KindUnavailable
	if unavailable || g.unconfirmedWrite {
		l.addOrphan(now, g)
	}
	return err
}

// updateRow writes the row of a granted claim until it is in the wanted state. The row must be running and hold the
// claim's token.
func (l *Ledger) updateRow(
	ctx context.Context, operation string, g Granted, write func(revision uint64) ConditionalWrite, want state,
) error {
	revision := g.revision
	for range maxWriteTries {
		w := l.commitWrite(ctx, write(revision))
		switch w.outcome {
		case outcomeCommitted:
			return nil
		case outcomeNotApplied:
			return newError(operation, KindUnavailable, w.err)
		case outcomeUnknown, outcomeConflict:
		}
		row, found, err := l.store.Get(ctx, g.key.rowKey())
		if err != nil {
			return newError(operation, KindUnavailable, err)
		}
		if !found {
			if want == stateAbsent {
				return nil
			}
			return newError(operation, KindStale, errors.New("row no longer exists"))
		}
		e, err := decodeEntry(row.value)
		if err != nil {
			return newError(operation, KindMalformed, err)
		}
		if e.token != g.token.String() {
			return newError(operation, KindStale, errors.New("row is held by another claim"))
		}
		if e.state == want {
			return nil
		}
		if e.state != stateRunning {
			return newError(operation, KindStale, errors.New("call is already finished"))
		}
		revision = row.revision
	}
	return newError(operation, KindUnavailable, errors.New("store did not confirm the write"))
}

// addOrphan registers the row of a claim whose call no node runs for release by Sweep.
func (l *Ledger) addOrphan(now time.Time, g Granted) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.orphans) >= maxOrphans {
		l.orphans = l.orphans[1:]
	}
	l.orphans = append(l.orphans, &orphan{key: g.key.rowKey(), token: g.token.String(), addedAt: now, nextCheck: now})
}

// OrphanCount returns the number of orphans, which are watched for a late write or wait for their release.
func (l *Ledger) OrphanCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.orphans)
}

// Sweep checks the orphans that are due and releases rows that writes with an unknown outcome left behind.
func (l *Ledger) Sweep(ctx context.Context, now time.Time) {
	for _, o := range l.dueOrphans(now) {
		if l.resolveOrphan(ctx, now, o) {
			l.removeOrphan(o)
		}
	}
}

// dueOrphans returns the orphans that are due for a check and schedules the next check of each.
func (l *Ledger) dueOrphans(now time.Time) []*orphan {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*orphan
	for _, o := range l.orphans {
		if now.Before(o.nextCheck) {
			continue
		}
		o.scheduleNextCheck(now)
		due = append(due, o)
	}
	return due
}

// resolveOrphan checks one row, releases it if it still holds the orphan's token, and reports whether the orphan needs
// no further checks.
func (l *Ledger) resolveOrphan(ctx context.Context, now time.Time, o *orphan) bool {
	ctx, cancel := context.WithTimeout(ctx, l.operationTimeout)
	defer cancel()
	row, found, err := l.store.Get(ctx, o.key)
	if err != nil {
		return false
	}
	watched := now.Sub(o.addedAt) >= orphanWatchTime
	if !found {
		return watched
	}
	e, err := decodeEntry(row.value)
	if err != nil || e.token != o.token {
		return watched
	}
	if e.state != stateRunning {
		return true
	}
	return l.commitWrite(ctx, deleteIfRevision(o.key, row.revision)).outcome == outcomeCommitted && watched
}

func (l *Ledger) removeOrphan(o *orphan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.orphans {
		if x == o {
			l.orphans = append(l.orphans[:i], l.orphans[i+1:]...)
			return
		}
	}
}

// sweepLoop sweeps until Close. Without an interval it only waits for Close, because a tomb dies when it has no
// goroutines.
func (l *Ledger) sweepLoop() error {
	if l.sweepInterval <= 0 {
		<-l.tomb.Dying()
		return nil
	}
	ticker := time.NewTicker(l.sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case now := <-ticker.C:
			l.Sweep(l.tomb.Context(context.Background()), now)
		}
	}
}
