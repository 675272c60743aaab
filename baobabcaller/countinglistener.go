package baobabcaller

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// The HTTP server writes these answers itself, before a request reaches the handler. Answers of the handler have
// other header fields after the first line.
var (
	serverAnswerTooLarge  = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n")
	serverAnswerMalformed = []byte("HTTP/1.1 400 Bad Request")
	serverAnswerEnd       = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n")
)

// A countingListener counts requests that the HTTP server refuses by itself.
type countingListener struct {
	net.Listener
	meters *meters
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
	return &countingConn{TCPConn: t, meters: l.meters}, nil
}

// A countingConn looks at the start of each write, and can be sealed while it is idle.
type countingConn struct {
	*net.TCPConn
	meters *meters

	mu     sync.Mutex
	heard  time.Time // Guarded by mu; when bytes were last read.
	sealed bool      // Guarded by mu; what arrives is not read any more.
}

// Read implements net.Conn. Bytes that arrive on a sealed connection are dropped, so that their request is not run.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	c.heard = time.Now()
	return n, err
}

// seal ends the reading of a connection on which nothing was read since a time, and reports whether it did. The server
// says that a connection is active only after it has read a request, so its word alone does not tell that none is there.
func (c *countingConn) seal(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.After(since) {
		return false
	}
	c.sealed = true
	return true
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	switch {
	case bytes.HasPrefix(b, serverAnswerTooLarge):
		c.meters.overSize.Inc()
	case isServerMalformed(b):
		c.meters.malformed.Inc()
	}
	return c.TCPConn.Write(b)
}

// isServerMalformed reports whether b is an answer of the server to a request that it cannot read; some name what is
// wrong on the first line.
func isServerMalformed(b []byte) bool {
	if !bytes.HasPrefix(b, serverAnswerMalformed) {
		return false
	}
	i := bytes.Index(b, []byte("\r\n"))
	return i >= 0 && bytes.HasPrefix(b[i:], serverAnswerEnd)
}
