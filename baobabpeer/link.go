package baobabpeer

import (
	"context"
	"io"
	"log"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// Timeout of a write that queues behind others on a slow link, in keepalive intervals. A dead link is closed earlier.
	writeTimeoutIntervals = 10
	// A stream that only one side has closed is closed completely after this time.
	streamCloseTimeout = time.Minute
	// The smallest receive window that yamux allows.
	streamWindowBytes = 256 << 10
)

// A link is one authenticated connection with its yamux session.
type link struct {
	transport     *Transport
	address       string // Dialled or remote address.
	bytes         *byteCounters
	session       *yamux.Session
	context       context.Context // Cancelled when the link is closed.
	cancel        context.CancelFunc
	activeStreams atomic.Int64 // Incremented for outbound streams only under Transport.mu.
	lastUsed      atomic.Int64 // Monotonic nanoseconds.
	lastReceived  atomic.Int64 // Time of the last received byte, monotonic nanoseconds.

	streamsMu sync.Mutex
	streams   map[*Stream]struct{} // Guarded by streamsMu; open streams, nil once the link has ended.
}

// newLink starts a yamux session on an authenticated connection. linkConn sends the keepalives.
func newLink(t *Transport, address string, bytes *byteCounters, c net.Conn, dialled bool) (*link, error) {
	l := &link{transport: t, address: address, bytes: bytes, streams: map[*Stream]struct{}{}}
	l.context, l.cancel = context.WithCancel(t.context)
	l.touch()
	l.lastReceived.Store(monotonicNanos())
	o := &t.options
	conn := newLinkConn(c, bytes, o.keepAlive, l.end)
	conn.lastReceived = &l.lastReceived
	config := &yamux.Config{
		AcceptBacklog:          o.maxStreams,
		KeepAliveInterval:      o.keepAlive, // Unused, but must be set.
		ConnectionWriteTimeout: writeTimeoutIntervals * o.keepAlive,
		MaxStreamWindowSize:    streamWindowBytes,
		StreamCloseTimeout:     streamCloseTimeout,
		Logger:                 log.New(io.Discard, "", 0),
	}
	var err error
	if dialled {
		l.session, err = yamux.Client(conn, config)
	} else {
		l.session, err = yamux.Server(conn, config)
	}
	if err != nil {
		l.cancel()
		return nil, err
	}
	return l, nil
}

// end unblocks the readers and writers of all streams, cancels the contexts of the handlers and unregisters the link.
// Every way in which a link ends calls it before yamux learns of the end or its connection is closed: yamux wakes its
// readers and writers when a session shuts down, but marks their streams closed only after the connection's Close has
// returned, and until then they go round without blocking. What a stream has received can still be read.
func (l *link) end() {
	l.streamsMu.Lock()
	streams := l.streams
	l.streams = nil
	l.streamsMu.Unlock()
	for s := range streams {
		s.expire()
	}
	l.cancel()
	l.transport.removeLink(l)
}

// addStream registers an open stream. On a link that has ended, the stream is unblocked at once.
func (l *link) addStream(s *Stream) {
	l.streamsMu.Lock()
	ended := l.streams == nil
	if !ended {
		l.streams[s] = struct{}{}
	}
	l.streamsMu.Unlock()
	if ended {
		s.expire()
	}
}

// removeStream unregisters a stream that no goroutine reads any more and on which no writer waits for the peer.
func (l *link) removeStream(s *Stream) {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	delete(l.streams, s)
}

func (l *link) touch() { l.lastUsed.Store(monotonicNanos()) }

// silent reports whether nothing was received for silentLinkIntervals, so that the peer is probably unreachable. The
// link stays open until the read timeout, because lost packets may still be retransmitted.
func (l *link) silent() bool {
	return monotonicNanos()-l.lastReceived.Load() > int64(silentLinkIntervals*l.transport.options.keepAlive)
}

// releaseStream decrements the number of active streams.
func (l *link) releaseStream() {
	l.touch()
	l.activeStreams.Add(-1)
}

// close closes the link with all its streams and waits for yamux to stop.
func (l *link) close() {
	l.end()
	_ = l.session.Close()
}

// serve accepts streams until the link ends.
func (l *link) serve(h Handler) {
	defer l.close()
	for {
		y, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		if l.activeStreams.Load() >= int64(2*l.transport.options.maxStreams) {
			l.transport.counters.countRefused(refusedStreams)
			refused := newStream(l, y, false)
			refused.Reset()
			l.removeStream(refused)
			continue
		}
		l.activeStreams.Add(1)
		if !l.transport.spawn(func() { l.serveStream(h, y) }) {
			return
		}
	}
}

// serveStream calls the handler once the first frame has arrived. Reading that frame here saves a switch to the
// read-ahead goroutine and back.
func (l *link) serveStream(h Handler, y *yamux.Stream) {
	s := newStream(l, y, false)
	defer s.finish()
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	s.cancel = cancel
	first, err := s.receiveFrame()
	if err != nil {
		l.removeStream(s)
		return
	}
	s.enqueue(first)
	if !s.startReadAhead() {
		return
	}
	l.handle(ctx, h, s)
}

// handle calls the handler. A panic ends the stream alone: one message that a handler does not expect must not take down
// the process, which carries the calls of all others.
func (l *link) handle(ctx context.Context, h Handler, s *Stream) {
	defer func() {
		if v := recover(); v != nil {
			l.transport.counters.countRefused(refusedPanic)
			l.transport.options.onPanic(l.address, v, debug.Stack())
			s.Reset()
		}
	}()
	h.ServeStream(ctx, s)
}
