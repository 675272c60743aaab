package baobabpeer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	yamuxHeaderBytes  = 12
	yamuxTypeData     = 0
	yamuxTypeWindow   = 1
	yamuxTypePing     = 2
	yamuxFlagSYN      = 1
	yamuxFlagACK      = 2
	yamuxFlagFIN      = 4
	maxPendingBytes   = 1 << 10
	maxCoalescedBytes = 4 << 10
	// A buffered header is sent after this time at the latest.
	flushDelay = time.Millisecond
	// A link on which nothing was received for this many keepalive intervals gets no new streams. The peer sends at least
	// one frame every one and a half intervals.
	silentLinkIntervals = 2
	// A link is closed after this many keepalive intervals without a received byte.
	readTimeoutIntervals = 3
)

// keepAliveFrame is a yamux ping response. Yamux never sends a ping with this id, so the peer ignores the response.
var keepAliveFrame = []byte{0, yamuxTypePing, 0, yamuxFlagACK, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff}

// A linkConn is the connection under a yamux session. It coalesces the small writes of yamux: the header of a data
// frame is sent with its body, and the headers that open, acknowledge and close a stream are sent with the next write
// or after 1 ms. A request then takes one write on each side instead of four. It also counts the bytes.
//
// It sends a keepalive frame when nothing else was sent for an interval, and its reads fail when nothing is received
// for three intervals. Yamux's own keepalive is not used, because its responses queue behind the data in transit, so
// that it closes slow links that are busy.
type linkConn struct {
	net.Conn
	bytes         *byteCounters
	interval      time.Duration // Of keepalives.
	onEnd         func()        // Called once, before Read returns its first error or the connection is closed.
	lastReceived  *atomic.Int64 // Time of the last received byte, monotonic nanoseconds; may be nil.
	endOnce       sync.Once
	closeOnce     sync.Once
	deadlineSetAt time.Time // When the read deadline was last set; used by the reading goroutine only.

	mu             sync.Mutex
	pending        []byte
	bodyNext       bool // The next write is the body of the last header in pending.
	flushScheduled bool // flushTimer is running.
	flushTimer     *time.Timer
	keepAliveTimer *time.Timer
	lastSent       time.Time
	err            error // First write error; later writes return it.
}

func newLinkConn(c net.Conn, b *byteCounters, interval time.Duration, onEnd func()) *linkConn {
	l := &linkConn{Conn: c, bytes: b, interval: interval, onEnd: onEnd}
	l.mu.Lock() // The timers must not run before they are set.
	defer l.mu.Unlock()
	l.flushTimer = time.AfterFunc(time.Hour, l.onFlushTimer)
	l.flushTimer.Stop()
	l.keepAliveTimer = time.AfterFunc(interval, l.onKeepAliveTimer)
	return l
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	now := time.Now()
	// The deadline is renewed only after an eighth of the timeout, because setting it costs a timer update.
	timeout := readTimeoutIntervals * c.interval
	if now.Sub(c.deadlineSetAt) > timeout/8 {
		c.deadlineSetAt = now
		if err := c.SetReadDeadline(now.Add(timeout)); err != nil {
			c.endOnce.Do(c.onEnd)
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.bytes.linkIn.Add(n)
	if n > 0 {
		if c.lastReceived != nil {
			c.lastReceived.Store(monotonicNanos())
		}
		return n, nil // The next Read returns the error, once yamux has delivered these bytes.
	}
	if err != nil {
		c.endOnce.Do(c.onEnd)
	}
	return 0, err
}

// Write implements net.Conn. A header may be buffered for up to 1 ms.
func (c *linkConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if !c.bodyNext && c.bufferHeader(b) {
		return len(b), nil
	}
	c.bodyNext = false
	if len(c.pending) > 0 && len(c.pending)+len(b) <= maxCoalescedBytes {
		c.pending = append(c.pending, b...)
		return len(b), c.flush()
	}
	if err := c.flush(); err != nil {
		return 0, err
	}
	return len(b), c.write(b)
}

// bufferHeader appends b to the pending bytes if it is a header that can wait for the next write, and reports whether
// it did.
func (c *linkConn) bufferHeader(b []byte) bool {
	if len(b) != yamuxHeaderBytes || len(c.pending) >= maxPendingBytes {
		return false
	}
	flags := binary.BigEndian.Uint16(b[2:4])
	length := binary.BigEndian.Uint32(b[8:12])
	if b[1] == yamuxTypeData && length > 0 {
		c.pending = append(c.pending, b...)
		c.bodyNext = true
		return true
	}
	if b[1] != yamuxTypeWindow || flags&(yamuxFlagSYN|yamuxFlagACK|yamuxFlagFIN) == 0 {
		return false
	}
	c.pending = append(c.pending, b...)
	if !c.flushScheduled {
		c.flushScheduled = true
		c.flushTimer.Reset(flushDelay)
	}
	return true
}

func (c *linkConn) onFlushTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushScheduled = false
	if c.err == nil && !c.bodyNext {
		_ = c.flush() // The next write returns the error; reads fail as well.
	}
}

// onKeepAliveTimer runs at every interval and sends a keepalive frame if nothing was sent recently. It sends none while
// a write is in progress or a body is about to follow its header.
func (c *linkConn) onKeepAliveTimer() {
	if !c.mu.TryLock() {
		c.keepAliveTimer.Reset(c.interval)
		return
	}
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if !c.bodyNext && time.Since(c.lastSent) >= c.interval/2 {
		c.pending = append(c.pending, keepAliveFrame...)
		_ = c.flush() // The next write returns the error; reads fail as well.
	}
	c.keepAliveTimer.Reset(c.interval)
}

func (c *linkConn) flush() error {
	if len(c.pending) == 0 {
		return nil
	}
	err := c.write(c.pending)
	c.pending = c.pending[:0]
	return err
}

func (c *linkConn) write(b []byte) error {
	n, err := c.Conn.Write(b)
	c.bytes.linkOut.Add(n)
	c.lastSent = time.Now()
	if err != nil {
		c.err = err
	}
	return err
}

// Close implements net.Conn. Yamux calls it once when the session ends for any reason. It waits for a running flush.
func (c *linkConn) Close() error {
	c.endOnce.Do(c.onEnd)
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.err = net.ErrClosed
		c.flushTimer.Stop()
		c.keepAliveTimer.Stop()
		c.mu.Unlock()
	})
	return err
}
