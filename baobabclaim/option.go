package baobabclaim

import "time"

const (
	defaultRetention     = 24 * time.Hour
	defaultBatchWindow   = 3 * time.Millisecond
	defaultBatchSize     = 64
	defaultInFlight      = 256
	defaultTimeLimit     = 2 * time.Second
	defaultSweepInterval = time.Second
)

// An Option sets an optional property of a Ledger.
type Option func(*Ledger)

// WithRetention sets the time after which a key may be used anew. The default is 24 h.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithBatch sets the time for which operations are collected into one transaction and the greatest number of them.
// A window of 0 commits each operation at once, in the calling goroutine. The default is 3 ms and 64.
func WithBatch(window time.Duration, size int) Option {
	return func(l *Ledger) { l.batcher.window, l.batcher.most = window, max(1, size) }
}

// WithInFlight sets the greatest number of claims in flight; further ones fail with KindBusy. The default is 256.
func WithInFlight(n int) Option { return func(l *Ledger) { l.slots = make(chan struct{}, max(1, n)) } }

// WithTimeLimit sets the limit of one operation, whatever its context allows. The default is 2 s.
func WithTimeLimit(d time.Duration) Option {
	return func(l *Ledger) { l.timeLimit, l.batcher.timeLimit = d, d }
}

// WithSweepInterval sets the time between background sweeps; 0 turns them off. The default is 1 s.
func WithSweepInterval(d time.Duration) Option { return func(l *Ledger) { l.sweepInterval = d } }
