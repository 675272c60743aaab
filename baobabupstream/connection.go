package baobabupstream

import (
	"errors"
	"net"
	"slices"
	"sync"

	response "github.com/baobabdale/baobabdale/baobabresponse"
)

// maxRecentCallIDs is how many call ids a connection keeps.
const maxRecentCallIDs = 4

var errWritesStopped = errors.New("connection is closed for writing")

// A connection counts the bytes handed to the network, so that it is certain whether a request was sent.
type connection struct {
	*response.Conn
	onClose       func() // Called once.
	closeOnce     sync.Once
	mu            sync.Mutex
	written       int64    // Includes all bytes of a failed write, of which an unknown number was sent.
	writesStopped bool     // Write fails without sending anything.
	recentCallIDs []string // Latest calls on the connection, at most maxRecentCallIDs.
}

func newConnection(c net.Conn, onClose func()) *connection {
	return &connection{Conn: response.NewConn(c), onClose: onClose}
}

// beginCall records that the connection is now used for the call, and returns the number of bytes written before it.
func (c *connection) beginCall(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ExpectResponse()
	c.recentCallIDs = append(c.recentCallIDs, id)
	if len(c.recentCallIDs) > maxRecentCallIDs {
		c.recentCallIDs = slices.Delete(c.recentCallIDs, 0, 1)
	}
	return c.written
}

// servedRecently reports whether the call is among the latest calls on the connection.
func (c *connection) servedRecently(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.recentCallIDs, id)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClose)
	return err
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesStopped {
		c.mu.Unlock()
		return 0, errWritesStopped
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// stopWrites makes further writes fail and returns the number of bytes written.
func (c *connection) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.written
}
