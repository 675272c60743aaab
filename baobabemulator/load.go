package baobabemulator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// A Load sends requests from a number of workers, each one request after the other, until it is stopped.
type Load struct {
	cancel  context.CancelFunc
	serial  atomic.Int64
	workers sync.WaitGroup
}

// A LoadFunc sends the request with a serial number, counted from 1. The context is that of the load, which does not
// end before the workers have: a stop interrupts no request.
type LoadFunc func(ctx context.Context, serial int64)

// StartLoad starts a load that pauses after each request. It ends with Stop or ctx.
func StartLoad(ctx context.Context, workers int, pause time.Duration, send LoadFunc) *Load {
	stopped, cancel := context.WithCancel(ctx)
	l := &Load{cancel: cancel}
	for range workers {
		l.workers.Go(func() {
			for stopped.Err() == nil {
				send(ctx, l.serial.Add(1))
				select {
				case <-stopped.Done():
				case <-time.After(pause):
				}
			}
		})
	}
	return l
}

// Sent returns the number of requests that were begun.
func (l *Load) Sent() int64 { return l.serial.Load() }

// Stop waits until the requests in progress have ended.
func (l *Load) Stop() {
	l.cancel()
	l.workers.Wait()
}

// Burst sends n requests at the same time and returns what came back.
func (c *Caller) Burst(ctx context.Context, n int, base string, r CallerRequest) []CallerRecord {
	records := make([]CallerRecord, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { records[i] = c.Do(ctx, base, r) })
	}
	all.Wait()
	return records
}
