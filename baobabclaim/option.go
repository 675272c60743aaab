package baobabclaim

import "time"

const (
	defaultRetention        = 24 * time.Hour
	defaultBatchDelay       = 3 * time.Millisecond
	defaultBatchSize        = 64
	defaultMaxInFlight      = 256
	defaultOperationTimeout = 2 * time.Second
	defaultSweepInterval    = time.Second
)

// An Option sets an optional property of a Ledger.
type Option func(*Ledger)

// WithRetention sets the time after which a key may be reused. The default is 24 h.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithBatch sets the time for which writes are collected into one transaction, and their maximum number. A delay of 0
// commits each write at once, in the calling goroutine. The defaults are 3 ms and 64.
func WithBatch(delay time.Duration, size int) Option {
	return func(l *Ledger) { l.batcher.delay, l.batcher.maxSize = delay, max(1, size) }
}

// WithMaxInFlight sets the maximum number of claims in flight; further ones fail with KindBusy. The default is 256.
func WithMaxInFlight(n int) Option {
	return func(l *Ledger) { l.inFlight = make(chan struct{}, max(1, n)) }
}

// WithOperationTimeout sets the timeout of one operation, which applies in addition to its context. The default is 2 s.
func WithOperationTimeout(d time.Duration) Option {
	return func(l *Ledger) { l.operationTimeout, l.batcher.commitTimeout = d, d }
}

// WithSweepInterval sets the time between background sweeps; 0 disables them. The default is 1 s.
func WithSweepInterval(d time.Duration) Option { return func(l *Ledger) { l.sweepInterval = d } }
