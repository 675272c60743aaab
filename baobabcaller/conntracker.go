package baobabcaller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the states of the callers' connections.
type connTracker struct {
	mu      sync.Mutex
	active  map[net.Conn]struct{}  // Guarded by mu; connections with a request in progress.
	idle    map[net.Conn]time.Time // Guarded by mu; connections between two requests, with the start of the idle time.
	changed time.Time              // Guarded by mu; when a connection last changed its state.
}

func newConnTracker() *connTracker {
	return &connTracker{active: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
}

// track records a state change of a connection; it is called from http.Server.ConnState.
func (c *connTracker) track(now time.Time, conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = now
	delete(c.active, conn)
	delete(c.idle, conn)
	switch s {
	case http.StateActive:
		c.active[conn] = struct{}{}
	case http.StateIdle:
		c.idle[conn] = now
	}
}

// quietFor reports whether no request is in progress and no connection has changed its state for d.
func (c *connTracker) quietFor(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && now.Sub(c.changed) >= d
}

// closeIdle closes the connections that have been idle for d. Callers send requests on open connections, so a node that
// only waited for all of them to become quiet would accept requests until it is killed.
func (c *connTracker) closeIdle(now time.Time, d time.Duration) {
	c.mu.Lock()
	idle := map[net.Conn]time.Time{}
	for conn, since := range c.idle {
		if now.Sub(since) >= d {
			idle[conn] = since
		}
	}
	c.mu.Unlock()
	for conn, since := range idle {
		// A connection on which a request is being read stays open.
		if cc, ok := conn.(interface{ closeReadIfIdle(time.Time) bool }); ok && !cc.closeReadIfIdle(since) {
			continue
		}
		_ = conn.Close()
	}
}

// drain closes idle connections and waits until all connections have been quiet for d. It returns the error of ctx when
// ctx ends first.
func (c *connTracker) drain(ctx context.Context, d time.Duration) error {
	ticker := time.NewTicker(d / quietPeriodChecks)
	defer ticker.Stop()
	for {
		c.closeIdle(time.Now(), d)
		if c.quietFor(time.Now(), d) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
