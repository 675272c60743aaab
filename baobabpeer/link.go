package baobabpeer

import (
	"context"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// Bounds a write that waits behind others on a slow link, in keepalive intervals. A dead link ends earlier.
	writeIntervals = 10
	// A stream that only one side has closed is dropped after this time.
	streamCloseTimeout = time.Minute
	// The smallest window that yamux allows.
	streamWindowBytes = 256 << 10
)

// A link is one authenticated connection with its yamux session.
type link struct {
	transport *Transport
	address   string // Dialled or remote address.
	bytes     *byteCounters
	session   *yamux.Session
	context   context.Context // Ends with the link.
	cancel    context.CancelFunc
	active    atomic.Int64 // Streams in use. Raised for outbound streams only under the transport's lock.
	lastUsed  atomic.Int64 // Monotonic nanoseconds.
	lastHeard atomic.Int64 // When bytes were last received; monotonic nanoseconds.
}

// newLink starts yamux on an authenticated connection. Keepalives are left to linkConn.
func newLink(t *Transport, address string, bytes *byteCounters, c net.Conn, dialled bool) (*link, error) {
	l := &link{transport: t, address: address, bytes: bytes}
	l.context, l.cancel = context.WithCancel(t.context)
	l.touch()
	l.lastHeard.Store(monotonic())
	o := &t.options
	conn := newLinkConn(c, bytes, o.keepAlive, l.closed)
	conn.heard = &l.lastHeard
	config := &yamux.Config{
		AcceptBacklog:          o.maxStreams,
		KeepAliveInterval:      o.keepAlive, // Unused, but must be set.
		ConnectionWriteTimeout: writeIntervals * o.keepAlive,
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

// closed runs when the connection is closed for any reason.
func (l *link) closed() {
	l.cancel()
	l.transport.forget(l)
}

func (l *link) touch() { l.lastUsed.Store(monotonic()) }

// silent reports whether the other side has missed signs of life, so that it can hardly be reached. The link stays open
// for a while, because what is lost may be on its way again.
func (l *link) silent() bool {
	return monotonic()-l.lastHeard.Load() > int64(staleIntervals*l.transport.options.keepAlive)
}

// release ends the use of one stream.
func (l *link) release() {
	l.touch()
	l.active.Add(-1)
}

// close closes the link and all its streams, and waits for yamux to stop.
func (l *link) close() { _ = l.session.Close() }

// serve accepts streams until the link ends.
func (l *link) serve(h Handler) {
	defer l.close()
	for {
		y, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		if l.active.Load() >= int64(2*l.transport.options.maxStreams) {
			l.transport.counters.refused(refusedStreams)
			newStream(l, y, false).Reset()
			continue
		}
		l.active.Add(1)
		if !l.transport.spawn(func() { l.serveStream(h, y) }) {
			return
		}
	}
}

// serveStream calls the handler once the first frame has arrived. Reading it here saves the first change of
// goroutines to the pump and back.
func (l *link) serveStream(h Handler, y *yamux.Stream) {
	s := newStream(l, y, false)
	defer s.finish()
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	s.cancel = cancel
	first, err := s.read()
	if err != nil {
		return
	}
	s.push(first)
	if !s.startPump() {
		return
	}
	h.ServeStream(ctx, s)
}
