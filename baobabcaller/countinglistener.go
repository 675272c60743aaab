package baobabcaller

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Responses that net/http's server writes itself, before a request reaches the handler. Responses of the handler have
// other header fields after the status line.
var (
	serverResponseTooLarge  = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n")
	serverResponseMalformed = []byte("HTTP/1.1 400 Bad Request")
	serverResponseEnd       = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n")
)

// A countingListener counts the requests that net/http's server rejects before they reach the handler.
type countingListener struct {
	net.Listener
	handler *Handler
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	counting := &countingConn{TCPConn: t, metrics: l.handler.metrics}
	if l.handler.readAhead.requests <= 0 {
		return counting, nil
	}
	return newPipelinedConn(counting, l.handler), nil
}

// A countingConn detects net/http's own error responses at the start of each write. Its reading side can be closed while
// it is idle.
type countingConn struct {
	*net.TCPConn
	metrics *handlerMetrics

	mu         sync.Mutex
	lastRead   time.Time // Guarded by mu; when bytes were last read.
	readClosed bool      // Guarded by mu; received bytes are discarded.
}

// Read implements net.Conn. After closeReadIfIdle it discards what arrives, so that no further request is run.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readClosed {
		return 0, net.ErrClosed
	}
	c.lastRead = time.Now()
	return n, err
}

// closeReadIfIdle closes the reading side if nothing was read after since, and reports whether it did. The HTTP server
// reports a connection as active only after it has read a request, so the idle state alone does not rule out that a
// request is being read.
func (c *countingConn) closeReadIfIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRead.After(since) {
		return false
	}
	c.readClosed = true
	return true
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	switch {
	case bytes.HasPrefix(b, serverResponseTooLarge):
		c.metrics.unreadOverSize.Inc()
	case isServerBadRequest(b):
		c.metrics.unreadMalformed.Inc()
	}
	return c.TCPConn.Write(b)
}

// isServerBadRequest reports whether b is net/http's response to a request that it cannot parse. Some of these responses
// name the cause in the status line.
func isServerBadRequest(b []byte) bool {
	if !bytes.HasPrefix(b, serverResponseMalformed) {
		return false
	}
	i := bytes.Index(b, []byte("\r\n"))
	return i >= 0 && bytes.HasPrefix(b[i:], serverResponseEnd)
}
