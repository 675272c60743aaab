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
	maxHeldBytes      = 1 << 10
	maxCoalescedBytes = 4 << 10
	// A header that is held for the next write is sent after this time at the latest.
	flushDelay = time.Millisecond
	// A link that was silent for this many keepalive intervals gets no new streams. The other side sends something at least
	// every one and a half.
	staleIntervals = 2
	// A link is closed after this many keepalive intervals without a received byte.
	silentIntervals = 3
)

// keepAliveFrame is the answer to a ping that yamux never sends, so the other side ignores it.
var keepAliveFrame = []byte{0, yamuxTypePing, 0, yamuxFlagACK, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff}

// A linkConn is the connection under a yamux session. It joins the small writes of yamux: the header of a data
// frame goes out with its body, and the headers that open, acknowledge and close a stream go out with the next
// write or after 1 ms. A request then takes one write on each side instead of four. It also counts the bytes.
//
// It sends a keepalive frame when nothing else was sent for an interval, and its reads fail when nothing arrives for
// three. Yamux's own keepalive waits for answers behind the data in transit, and closes slow links that are busy.
type linkConn struct {
	net.Conn
	bytes    *byteCounters
	interval time.Duration // Of keepalives.
	onClose  func()
	heard    *atomic.Int64 // Time of the last received byte, monotonic nanoseconds; may be nil.
	closed   sync.Once
	deadline time.Time // Start of the running read deadline; used by the reading goroutine only.

	mu       sync.Mutex
	held     []byte
	bodyNext bool // The next write is the body that belongs to the last held header.
	armed    bool // The flush timer is running.
	timer    *time.Timer
	beat     *time.Timer
	lastSent time.Time
	err      error // First write error; later writes return it.
}

func newLinkConn(c net.Conn, b *byteCounters, interval time.Duration, onClose func()) *linkConn {
	l := &linkConn{Conn: c, bytes: b, interval: interval, onClose: onClose}
	l.mu.Lock() // The timers must not run before they are set.
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(time.Hour, l.flushLate)
	l.timer.Stop()
	l.beat = time.AfterFunc(interval, l.keepAlive)
	return l
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	now := time.Now()
	// Setting the deadline on every read costs a timer update each; an eighth of the limit is precise enough.
	silence := silentIntervals * c.interval
	if now.Sub(c.deadline) > silence/8 {
		c.deadline = now
		if err := c.SetReadDeadline(now.Add(silence)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.bytes.linkIn.Add(n)
	if n > 0 && c.heard != nil {
		c.heard.Store(monotonic())
	}
	return n, err
}

// Write implements net.Conn. The bytes may be held back for up to 1 ms.
func (c *linkConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if !c.bodyNext && c.hold(b) {
		return len(b), nil
	}
	c.bodyNext = false
	if len(c.held) > 0 && len(c.held)+len(b) <= maxCoalescedBytes {
		c.held = append(c.held, b...)
		return len(b), c.flush()
	}
	if err := c.flush(); err != nil {
		return 0, err
	}
	return len(b), c.write(b)
}

// hold keeps a header that can wait and reports whether it did.
func (c *linkConn) hold(b []byte) bool {
	if len(b) != yamuxHeaderBytes || len(c.held) >= maxHeldBytes {
		return false
	}
	flags := binary.BigEndian.Uint16(b[2:4])
	length := binary.BigEndian.Uint32(b[8:12])
	if b[1] == yamuxTypeData && length > 0 {
		c.held = append(c.held, b...)
		c.bodyNext = true
		return true
	}
	if b[1] != yamuxTypeWindow || flags&(yamuxFlagSYN|yamuxFlagACK|yamuxFlagFIN) == 0 {
		return false
	}
	c.held = append(c.held, b...)
	if !c.armed {
		c.armed = true
		c.timer.Reset(flushDelay)
	}
	return true
}

func (c *linkConn) flushLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
	if c.err == nil && !c.bodyNext {
		_ = c.flush() // The error is kept and returned by the next write; the reader notices it as well.
	}
}

// keepAlive runs at every interval. A write that is under way, or a body that is about to follow its header, serves
// as well.
func (c *linkConn) keepAlive() {
	if !c.mu.TryLock() {
		c.beat.Reset(c.interval)
		return
	}
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if !c.bodyNext && time.Since(c.lastSent) >= c.interval/2 {
		c.held = append(c.held, keepAliveFrame...)
		_ = c.flush() // The error is kept and returned by the next write; the reader notices it as well.
	}
	c.beat.Reset(c.interval)
}

func (c *linkConn) flush() error {
	if len(c.held) == 0 {
		return nil
	}
	err := c.write(c.held)
	c.held = c.held[:0]
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
	err := c.Conn.Close()
	c.closed.Do(func() {
		c.mu.Lock()
		c.err = net.ErrClosed
		c.timer.Stop()
		c.beat.Stop()
		c.mu.Unlock()
		c.onClose()
	})
	return err
}
