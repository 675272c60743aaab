package baobabcaller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections follows the states of the callers' connections.
type connections struct {
	mu      sync.Mutex
	active  map[net.Conn]struct{}  // Guarded by mu; connections with a request in progress.
	idle    map[net.Conn]time.Time // Guarded by mu; connections between two requests, since when.
	changed time.Time              // Guarded by mu; when a connection last changed its state.
}

func newConnections() *connections {
	return &connections{active: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
}

// track is the server's hook for changes of state.
func (c *connections) track(now time.Time, conn net.Conn, s http.ConnState) {
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

// quiet reports whether no request has been in progress for a time.
func (c *connections) quiet(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && now.Sub(c.changed) >= d
}

// closeIdle closes the connections that have been between two requests for a time. Callers use such connections as long as
// they are open, so a node that waited until all of them were quiet would take requests until it is killed.
func (c *connections) closeIdle(now time.Time, d time.Duration) {
	c.mu.Lock()
	list := map[net.Conn]time.Time{}
	for conn, since := range c.idle {
		if now.Sub(since) >= d {
			list[conn] = since
		}
	}
	c.mu.Unlock()
	for conn, since := range list {
		// A connection on which a request is just being read stays.
		if s, ok := conn.(*countingConn); ok && !s.seal(since) {
			continue
		}
		_ = conn.Close()
	}
}

// drain closes idle connections and waits until no request has been in progress for a time. It returns the error of ctx
// when that ends first.
func (c *connections) drain(ctx context.Context, d time.Duration) error {
	tick := time.NewTicker(d / quietLooks)
	defer tick.Stop()
	for {
		c.closeIdle(time.Now(), d)
		if c.quiet(time.Now(), d) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
