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

// maxTries bounds the writes of one operation; only lost answers and expired rows need more than one.
const maxTries = 4

// A Ledger claims, finishes and releases keys. It is safe for concurrent use.
type Ledger struct {
	store         Store
	batcher       *batcher
	retention     time.Duration
	timeLimit     time.Duration
	sweepInterval time.Duration
	instance      uint64
	sequence      atomic.Uint64
	slots         chan struct{} // One element per claim in flight.
	tomb          tomb.Tomb

	mu     sync.Mutex
	doubts []*doubt // In order of arrival.
}

// NewLedger returns a ledger; Close ends its goroutines.
func NewLedger(store Store, options ...Option) *Ledger {
	l := &Ledger{
		store:         store,
		retention:     defaultRetention,
		timeLimit:     defaultTimeLimit,
		sweepInterval: defaultSweepInterval,
		instance:      randomInstance(),
		slots:         make(chan struct{}, defaultInFlight),
	}
	l.batcher = &batcher{
		store: store, window: defaultBatchWindow, most: defaultBatchSize, timeLimit: defaultTimeLimit, tomb: &l.tomb,
	}
	for _, o := range options {
		o(l)
	}
	l.tomb.Go(l.sweepLoop)
	return l
}

// randomInstance returns a number that no other ledger has.
func randomInstance() uint64 {
	var b [8]byte
	// Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Close refuses further operations and waits for those in flight. Rows in doubt stay as they are.
func (l *Ledger) Close() error {
	l.batcher.close()
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// Claim claims the key for a request. Only after Granted may the call run. Every error means that this claim does
// not hold the key.
func (l *Ledger) Claim(ctx context.Context, now time.Time, key Key, request Digest) (Result, error) {
	const operation = "claim"
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		return nil, newError(operation, KindBusy, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeLimit)
	defer cancel()
	g := Granted{key: key, request: request, attempt: l.nextAttempt(), claimedAt: now}
	result, err := l.claim(ctx, now, &g)
	if granted, ok := result.(Granted); ok {
		return granted, nil
	}
	if g.doubtful {
		l.doubt(now, g)
	}
	if err != nil {
		return nil, err
	}
	return result, nil
}

// nextAttempt returns a new fencing token.
func (l *Ledger) nextAttempt() Attempt {
	return Attempt{instance: l.instance, sequence: l.sequence.Add(1)}
}

// claim writes the row until its state is known. It sets g.doubtful when a write may be applied later.
func (l *Ledger) claim(ctx context.Context, now time.Time, g *Granted) (Result, error) {
	const operation = "claim"
	running := entry{attempt: g.attempt.String(), request: g.request, state: stateRunning, claimedAt: now}
	value, err := running.encode()
	if err != nil {
		return nil, newError(operation, KindMalformed, err)
	}
	step := putIfAbsent(g.key.row(), value)
	for range maxTries {
		o := l.run(ctx, step)
		switch o.outcome {
		case outcomeCommitted:
			g.revision = o.revision
			return *g, nil
		case outcomeNotApplied:
			return nil, newError(operation, KindUnavailable, o.err)
		case outcomeUnknown:
			g.doubtful = true
		case outcomeConflict:
		}
		row, found, err := l.store.Get(ctx, g.key.row())
		if err != nil {
			return nil, newError(operation, KindUnavailable, err)
		}
		if !found {
			// Writing the same attempt again is safe: the condition lets only one of the writes be applied.
			step = putIfAbsent(g.key.row(), value)
			continue
		}
		e, err := decodeEntry(row.value)
		if err != nil {
			return nil, newError(operation, KindMalformed, err)
		}
		if e.attempt != running.attempt && e.expired(now, l.retention) {
			step = putIfRevision(g.key.row(), row.revision, value)
			continue
		}
		return judge(e, row.revision, g), nil
	}
	return nil, newError(operation, KindUnavailable, errors.New("row keeps changing"))
}

// judge returns what an existing row means for the claim.
func judge(e entry, revision uint64, g *Granted) Result {
	switch {
	case e.attempt == g.attempt.String():
		g.revision = revision
		return *g
	case e.request != g.request:
		return Mismatch{}
	case e.state == stateFinished:
		return Finished{record: e.record}
	default:
		return InProgress{since: e.claimedAt}
	}
}

// run commits the step and waits for its end. When the context ends first the outcome is unknown, unless the
// step was not sent yet.
func (l *Ledger) run(ctx context.Context, step Step) *operation {
	o := newOperation(step)
	l.batcher.submit(o)
	select {
	case <-o.done:
		return o
	case <-ctx.Done():
	}
	// The operation may still end in another goroutine; its fields must not be touched.
	ended := newOperation(step)
	if l.batcher.withdraw(o) {
		ended.finish(outcomeNotApplied, 0, ctx.Err())
	} else {
		ended.finish(outcomeUnknown, 0, ctx.Err())
	}
	return ended
}

// Finish records the answer of a call that ran.
func (l *Ledger) Finish(ctx context.Context, _ time.Time, g Granted, answer Record) error {
	const operation = "finish"
	finished := entry{
		attempt: g.attempt.String(), request: g.request, state: stateFinished, claimedAt: g.claimedAt, record: answer,
	}
	value, err := finished.encode()
	if err != nil {
		return newError(operation, KindMalformed, err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeLimit)
	defer cancel()
	return l.update(ctx, operation, g, func(revision uint64) Step {
		return putIfRevision(g.key.row(), revision, value)
	}, stateFinished)
}

// Release gives up a key whose call did not run, so that it can be claimed again. When the store does not confirm
// it in time, the release goes on in the background.
func (l *Ledger) Release(ctx context.Context, now time.Time, g Granted) error {
	const operation = "release"
	ctx, cancel := context.WithTimeout(ctx, l.timeLimit)
	defer cancel()
	err := l.update(ctx, operation, g, func(revision uint64) Step {
		return deleteIfRevision(g.key.row(), revision)
	}, stateAbsent)
	var failure *Error
	unavailable := errors.As(err, &failure) && failure.kind == KindUnavailable
	if unavailable || g.doubtful {
		l.doubt(now, g)
	}
	return err
}

// stateAbsent is the state of a row that does not exist.
const stateAbsent state = ""

// update changes the row of a granted claim until it is in the wanted state. The row must be running under the
// claim's attempt.
func (l *Ledger) update(
	ctx context.Context, operation string, g Granted, step func(revision uint64) Step, want state,
) error {
	revision := g.revision
	for range maxTries {
		o := l.run(ctx, step(revision))
		switch o.outcome {
		case outcomeCommitted:
			return nil
		case outcomeNotApplied:
			return newError(operation, KindUnavailable, o.err)
		case outcomeUnknown, outcomeConflict:
		}
		row, found, err := l.store.Get(ctx, g.key.row())
		if err != nil {
			return newError(operation, KindUnavailable, err)
		}
		if !found {
			if want == stateAbsent {
				return nil
			}
			return newError(operation, KindStale, errors.New("row is gone"))
		}
		e, err := decodeEntry(row.value)
		if err != nil {
			return newError(operation, KindMalformed, err)
		}
		if e.attempt != g.attempt.String() {
			return newError(operation, KindStale, errors.New("another attempt holds the row"))
		}
		if e.state == want {
			return nil
		}
		if e.state != stateRunning {
			return newError(operation, KindStale, errors.New("the call is finished"))
		}
		revision = row.revision
	}
	return newError(operation, KindUnavailable, errors.New("the store does not confirm the write"))
}

// doubt notes that the row of the claim may exist although nobody runs its call.
func (l *Ledger) doubt(now time.Time, g Granted) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.doubts) >= maxDoubts {
		l.doubts = l.doubts[1:]
	}
	l.doubts = append(l.doubts, &doubt{key: g.key.row(), attempt: g.attempt.String(), since: now, due: now})
}

// Doubts returns the number of rows that are watched or wait for their release.
func (l *Ledger) Doubts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.doubts)
}

// Sweep looks at the rows that are due and releases those that a write with an unknown outcome left behind.
func (l *Ledger) Sweep(ctx context.Context, now time.Time) {
	for _, d := range l.dueDoubts(now) {
		if l.settle(ctx, now, d) {
			l.forget(d)
		}
	}
}

// dueDoubts returns the doubts that are due and postpones each.
func (l *Ledger) dueDoubts(now time.Time) []*doubt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*doubt
	for _, d := range l.doubts {
		if now.Before(d.due) {
			continue
		}
		d.postpone(now)
		due = append(due, d)
	}
	return due
}

// settle looks at one row and reports whether the doubt has ended.
func (l *Ledger) settle(ctx context.Context, now time.Time, d *doubt) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeLimit)
	defer cancel()
	row, found, err := l.store.Get(ctx, d.key)
	if err != nil {
		return false
	}
	watched := now.Sub(d.since) >= doubtWatch
	if !found {
		return watched
	}
	e, err := decodeEntry(row.value)
	if err != nil || e.attempt != d.attempt {
		return watched
	}
	if e.state != stateRunning {
		return true
	}
	return l.run(ctx, deleteIfRevision(d.key, row.revision)).outcome == outcomeCommitted && watched
}

func (l *Ledger) forget(d *doubt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.doubts {
		if x == d {
			l.doubts = append(l.doubts[:i], l.doubts[i+1:]...)
			return
		}
	}
}

// sweepLoop sweeps until Close. It runs also without an interval, because a tomb without goroutines is dead.
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
