package baobabemulator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// A LoadGenerator sends requests from a number of workers until it is stopped. Each worker sends one request at a time.
type LoadGenerator struct {
	cancel  context.CancelFunc
	serial  atomic.Int64
	workers sync.WaitGroup
}

// A SendFunc sends the request with the given serial number, counted from 1. Stop does not cancel the context, so it
// interrupts no request.
type SendFunc func(ctx context.Context, serial int64)

// StartLoad starts a load generator whose workers pause after each request. It ends with Stop or ctx.
func StartLoad(ctx context.Context, workers int, pause time.Duration, send SendFunc) *LoadGenerator {
	stopped, cancel := context.WithCancel(ctx)
	l := &LoadGenerator{cancel: cancel}
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

// Sent returns the number of requests started.
func (l *LoadGenerator) Sent() int64 { return l.serial.Load() }

// Stop sends no further requests and waits for those in progress.
func (l *LoadGenerator) Stop() {
	l.cancel()
	l.workers.Wait()
}
