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
	active  map[net.Conn]struct{} // Guarded by mu; connections with a request in progress.
	changed time.Time             // Guarded by mu; when a connection last changed its state.
}

func newConnections() *connections {
	return &connections{active: map[net.Conn]struct{}{}}
}

// track is the server's hook for changes of state.
func (c *connections) track(now time.Time, conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = now
	if s == http.StateActive {
		c.active[conn] = struct{}{}
		return
	}
	delete(c.active, conn)
}

// quiet reports whether no request has been in progress for a time.
func (c *connections) quiet(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && now.Sub(c.changed) >= d
}

// wait waits until no request has been in progress for a time. It returns the error of ctx when that ends first.
func (c *connections) wait(ctx context.Context, d time.Duration) error {
	tick := time.NewTicker(d / quietLooks)
	defer tick.Stop()
	for !c.quiet(time.Now(), d) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
