package baobabupstream

import (
	"errors"
	"net"
	"slices"
	"sync"
)

// keptIDs is how many ids of earlier calls a connection keeps.
const keptIDs = 4

var errSealed = errors.New("connection is sealed")

// A connection counts the bytes handed to the network, so that "not sent" is known and not guessed.
type connection struct {
	net.Conn
	mu      sync.Mutex
	written int64    // Includes bytes of a write that failed, whose number is not certain.
	sealed  bool     // Set: nothing more is sent.
	ids     []string // The last calls on the connection, at most keptIDs.
}

// carry records that the connection now carries the call, and returns the number of bytes written before it.
func (c *connection) carry(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids = append(c.ids, id)
	if len(c.ids) > keptIDs {
		c.ids = slices.Delete(c.ids, 0, 1)
	}
	return c.written
}

// carried reports whether the connection has carried the call recently.
func (c *connection) carried(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.ids, id)
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// seal lets nothing more be sent and returns the number of bytes written.
func (c *connection) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
