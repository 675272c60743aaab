package baobabcaller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// minReadBytes is the least room for bytes that are read behind the current request.
	minReadBytes = 512
	// maxServingDelay bounds the wait for the call of the current request; one that is refused unread has none.
	maxServingDelay = 10 * time.Millisecond
)

// connKey is the context key of a request's pipelinedConn.
type connKey struct{}

// A pipelinedConn is a caller's connection that is read ahead. It hands the HTTP server one request at a time. While the
// server serves that request and waits on the connection for the caller to leave, it reads the requests behind and hands
// them on as readAhead decides. The server then finds their answers in their turn, so that framing and order of the
// answers stay the server's.
//
// The HTTP server reads from one goroutine at a time.
type pipelinedConn struct {
	*countingConn
	handler *Handler
	context context.Context // Of all calls of the connection; set before the first Read.
	cancel  context.CancelFunc
	raw     syscall.RawConn
	serving chan struct{}  // Receives when the call of the current request is known.
	scanner requestScanner // Of the request that is being delivered; used by the reading goroutine.
	left    error          // Why reading has ended; used by the reading goroutine. Requests read before are dropped.

	mu        sync.Mutex
	buffer    []byte     // Guarded by mu; bytes behind the current request. Only the reading goroutine changes it.
	delivered int        // Guarded by mu; number of the last request of which the HTTP server has bytes.
	barrier   int        // Guarded by mu; number of a request that waits for its turn.
	ahead     *readAhead // Guarded by mu.
	current   *call.Call // Guarded by mu; the call that is served in its turn, if requests behind it may be handed on.
	unclear   bool       // Guarded by mu; the end of the current request is not known.
	ambiguous bool       // Guarded by mu; the current request has a length and chunks.
}

func newPipelinedConn(c *countingConn, h *Handler) *pipelinedConn {
	p := &pipelinedConn{countingConn: c, handler: h, ahead: newReadAhead(h.readAhead), serving: make(chan struct{}, 1)}
	p.raw, _ = c.SyscallConn() // Fails only for a closed connection, whose caller has left.
	return p
}

// callerLeft reports whether the caller has closed the connection behind what was read. A busy node may read a request
// long after it was sent. The HTTP server notices that the caller has left only when the goroutine runs that waits for it,
// and the call would be with an upstream by then.
func (c *pipelinedConn) callerLeft() bool {
	if c == nil {
		return false
	}
	left := c.raw == nil
	if left {
		return true
	}
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}

// attach returns the context of the connection's requests.
func (c *pipelinedConn) attach(ctx context.Context) context.Context {
	c.context, c.cancel = context.WithCancel(ctx)
	return context.WithValue(c.context, connKey{}, c)
}

// connOf returns the connection of a request, or nil when it is not read ahead.
func connOf(r *http.Request) *pipelinedConn {
	c, _ := r.Context().Value(connKey{}).(*pipelinedConn)
	return c
}

// Read implements net.Conn. It returns bytes of one request only.
func (c *pipelinedConn) Read(b []byte) (int, error) {
	if c.left != nil {
		return 0, c.left
	}
	if c.scanner.complete() {
		// While a request is served, the HTTP server asks for a single byte, to learn whether the caller leaves.
		if len(b) == 1 {
			if err := c.readBehind(b); err != nil {
				return 0, err
			}
		}
		c.scanner = requestScanner{line: c.scanner.line[:0]}
	}
	first := !c.scanner.started()
	n := c.peek(b)
	buffered := n > 0
	if !buffered {
		var err error
		if n, err = c.countingConn.Read(b); n == 0 {
			return 0, err
		}
	}
	own := c.scanner.scan(b[:n])
	c.mu.Lock()
	defer c.mu.Unlock()
	if first {
		c.delivered++
	}
	c.unclear, c.ambiguous = c.scanner.opaque(), c.scanner.ambiguous()
	if buffered {
		c.buffer = c.buffer[:copy(c.buffer, c.buffer[own:])]
	} else {
		c.buffer = append(c.buffer, b[own:n]...)
	}
	return own, nil
}

// peek copies buffered bytes to b.
func (c *pipelinedConn) peek(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return copy(b, c.buffer)
}

// readBehind reads behind the current request until its limit is reached or reading fails, and hands on requests. With
// the limit reached it returns nil: the connection is not read any further, so that the caller's window fills.
func (c *pipelinedConn) readBehind(b []byte) error {
	for {
		if !c.callerLeft() && c.handOn() {
			c.awaitServing()
			c.handOn()
			return nil
		}
		space := b
		if len(c.buffer) > 0 {
			space = c.space()
		}
		n, err := c.countingConn.Read(space)
		c.mu.Lock()
		if len(c.buffer) > 0 {
			c.buffer = c.buffer[:len(c.buffer)+n]
		} else {
			c.buffer = append(c.buffer, space[:n]...)
		}
		c.mu.Unlock()
		if n > 0 {
			continue
		}
		if e := net.Error(nil); !errors.As(err, &e) || !e.Timeout() {
			c.left = err
			c.closeAhead(cancelledCallerGone)
		}
		return err
	}
}

// awaitServing waits until the call of the current request is known, which decides about those behind it. The HTTP server
// starts to read behind a request just before it serves it.
func (c *pipelinedConn) awaitServing() {
	timer := time.NewTimer(maxServingDelay)
	defer timer.Stop()
	select {
	case <-c.serving:
	case <-timer.C:
	}
}

// space returns room for more bytes behind those in the buffer.
func (c *pipelinedConn) space() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.buffer)
	if cap(c.buffer)-n < minReadBytes {
		c.buffer = append(make([]byte, 0, 2*n+minReadBytes), c.buffer...)
	}
	return c.buffer[n:cap(c.buffer)]
}

// begin is called when the HTTP server serves the next request. It returns the call of the request if it was handed on
// before its turn.
func (c *pipelinedConn) begin(r *http.Request) *aheadCall {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	select {
	case <-c.serving: // Of an earlier request.
	default:
	}
	item := c.ahead.begin()
	if item == nil {
		return nil
	}
	a := item.(*aheadCall)
	if !a.matches(r) {
		// The HTTP server has read another request than the scanner: nothing more is read ahead here.
		c.handler.metrics.aheadMismatched.Inc()
		a.Cancel()
		c.ahead.close()
		return nil
	}
	c.signalServing()
	return a
}

// serve records the call that is served in its turn. Requests behind it are handed on if it may run again.
func (c *pipelinedConn) serve(r *http.Request, served *call.Call) {
	if c == nil || r.Body != nil && r.Body != http.NoBody {
		return
	}
	c.mu.Lock()
	c.current = served
	behind := len(c.buffer) > 0
	c.mu.Unlock()
	c.signalServing()
	if behind {
		c.handOn()
	}
}

func (c *pipelinedConn) signalServing() {
	select {
	case c.serving <- struct{}{}:
	default:
	}
}

// handOn hands on the buffered requests that readAhead lets go before their turn. It reports whether the buffer is full.
func (c *pipelinedConn) handOn() (full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	full = len(c.buffer) >= c.handler.readAhead.bytes
	if full {
		c.handler.metrics.aheadStoppedBytes.Inc()
	}
	if len(c.buffer) == 0 || c.delivered != c.ahead.current || !c.mayPass() {
		return full
	}
	rest := c.buffer
	for number := c.delivered + 1; len(rest) > 0; number++ {
		var s requestScanner
		n := s.scan(rest)
		if !s.complete() || !c.handOnRequest(number, rest[:n], s.simple()) {
			return full
		}
		rest = rest[n:]
	}
	return full
}

// mayPass reports whether the current call may run again, so that requests behind it may be handed on. mu must be held.
func (c *pipelinedConn) mayPass() bool {
	if c.ahead.passing {
		return true
	}
	if c.current == nil {
		return false
	}
	if c.handler.mayRepeat(c.handler.clock(), c.current) {
		c.ahead.pass()
	}
	c.current = nil
	return c.ahead.passing
}

// handOnRequest hands on one request unless it has to wait, and reports whether the one behind it may follow. mu must be
// held.
func (c *pipelinedConn) handOnRequest(number int, raw []byte, simple bool) bool {
	if number < c.ahead.next {
		return true
	}
	if number == c.barrier || c.handler.draining.Load() {
		return false
	}
	var a *aheadCall
	if simple {
		a = c.handler.newAheadCall(number, raw, c.RemoteAddr().String())
	}
	switch c.ahead.decide(number, simple, a != nil) {
	case aheadHanded:
		return true
	case aheadFull:
		c.handler.metrics.aheadStoppedRequests.Inc()
		return false
	case aheadWait:
		c.barrier = number
		return false
	}
	ctx, cancel := context.WithCancel(c.context)
	a.cancel = cancel
	if !c.handler.startAhead(ctx, a) {
		cancel()
		return false
	}
	c.ahead.handOn(a)
	return true
}

// answersWaiting returns the number of requests that were handed on and wait for their turn.
func (c *pipelinedConn) answersWaiting() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.waiting()
}

// malformed reports whether two parsers may see different ends of the current request, and whether its end is unclear, so
// that the connection cannot carry another one.
func (c *pipelinedConn) malformed() (ambiguous, unclear bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguous, c.unclear
}

// closeAhead cancels the calls that were handed on and not taken.
func (c *pipelinedConn) closeAhead(reason string) {
	c.mu.Lock()
	n := c.ahead.close()
	c.mu.Unlock()
	if n == 0 {
		return
	}
	c.handler.metrics.aheadCancelled(reason).Add(n)
	c.handler.onAheadCancelled(reason, n)
}

// Close implements net.Conn.
func (c *pipelinedConn) Close() error {
	err := c.countingConn.Close()
	c.closeAhead(cancelledConnectionClosed)
	if c.cancel != nil {
		c.cancel()
	}
	return err
}
