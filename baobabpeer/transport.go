package baobabpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// maxIdleWorkers is the number of idle goroutines that are kept for later streams. Starting one and growing its stack
// takes a tenth of the time of a request.
const maxIdleWorkers = 32

// A Transport manages the links of a node. It is safe for concurrent use. It maintains the metrics
// baobab_peer_links_opened_total, baobab_peer_links_closed_total, baobab_peer_redials_total,
// baobab_peer_refused_total, baobab_peer_link_bytes_total and baobab_peer_stream_bytes_total.
type Transport struct {
	credentials Credentials
	options     options
	counters    *counters
	context     context.Context // Cancelled when the transport closes.
	cancel      context.CancelFunc
	tomb        tomb.Tomb

	spawnMu     sync.RWMutex
	closing     bool // No new goroutine may be started.
	jobs        chan func()
	idleWorkers atomic.Int64 // Workers that wait for a job.

	mu          sync.Mutex
	links       map[string]*link // Dialled links by address.
	dials       map[string]*dial
	accepted    map[*link]struct{}
	handshaking map[net.Conn]struct{} // Accepted connections that are being authenticated.
	listeners   map[net.Listener]struct{}
}

// NewTransport returns a transport without links. The caller must close it.
func NewTransport(c Credentials, opts ...Option) *Transport {
	t := &Transport{
		credentials: c,
		options:     newOptions(opts),
		jobs:        make(chan func()),
		links:       map[string]*link{},
		dials:       map[string]*dial{},
		accepted:    map[*link]struct{}{},
		handshaking: map[net.Conn]struct{}{},
		listeners:   map[net.Listener]struct{}{},
	}
	t.counters = newCounters(t.options.metricSet)
	t.context, t.cancel = context.WithCancel(context.Background())
	t.tomb.Go(t.closeIdleLinks)
	return t
}

// spawn runs f in a worker goroutine that Close waits for. It returns false without running f when the transport is
// closing.
func (t *Transport) spawn(f func()) bool {
	t.spawnMu.RLock()
	defer t.spawnMu.RUnlock()
	if t.closing {
		return false
	}
	select {
	case t.jobs <- f:
	default:
		t.tomb.Go(func() error {
			t.runWorker(f)
			return nil
		})
	}
	return true
}

// runWorker runs f and then further jobs, until there are too many idle workers or the transport closes.
func (t *Transport) runWorker(f func()) {
	for {
		f()
		if t.idleWorkers.Add(1) > maxIdleWorkers {
			t.idleWorkers.Add(-1)
			return
		}
		select {
		case f = <-t.jobs:
			t.idleWorkers.Add(-1)
		case <-t.context.Done():
			t.idleWorkers.Add(-1)
			return
		}
	}
}

// Serve accepts links from a listener and calls the handler for each of their streams. It takes ownership of the
// listener. It returns nil after Close, otherwise the error of the listener.
func (t *Transport) Serve(n net.Listener, h Handler) error {
	t.mu.Lock()
	if t.context.Err() != nil {
		t.mu.Unlock()
		_ = n.Close()
		return newError("serve", KindClosed, nil)
	}
	t.listeners[n] = struct{}{}
	t.mu.Unlock()
	defer t.closeListener(n)
	var retry acceptRetry
	for {
		c, err := n.Accept()
		if err != nil {
			if t.context.Err() != nil {
				return nil
			}
			if !retry.wait(t.context, err) {
				return newError("serve", KindUnreachable, err)
			}
			continue
		}
		retry.reset()
		if !t.admitConn(c) {
			t.counters.countRefused(refusedAcceptedLinks)
			_ = c.Close()
			continue
		}
		if !t.spawn(func() { t.serveConn(c, h) }) {
			_ = c.Close()
		}
	}
}

func (t *Transport) closeListener(n net.Listener) {
	_ = n.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.listeners, n)
}

// admitConn registers an accepted connection for the handshake. It returns false at the limit of accepted links.
func (t *Transport) admitConn(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.context.Err() != nil || len(t.accepted)+len(t.handshaking) >= t.options.maxAcceptedLinks {
		return false
	}
	t.handshaking[c] = struct{}{}
	return true
}

// serveConn authenticates an accepted connection and serves its streams until the link ends.
func (t *Transport) serveConn(c net.Conn, h Handler) {
	l, err := t.acceptLink(c)
	t.mu.Lock()
	delete(t.handshaking, c)
	if err == nil && t.context.Err() == nil {
		t.accepted[l] = struct{}{}
	}
	t.mu.Unlock()
	if err != nil {
		t.reportHandshakeFailure(c.RemoteAddr().String(), err)
		_ = c.Close()
		return
	}
	t.counters.accepted.Inc()
	defer t.removeLink(l)
	if t.context.Err() != nil {
		l.close()
		return
	}
	l.serve(h)
}

func (t *Transport) acceptLink(c net.Conn) (*link, error) {
	setNoDelay(c)
	_ = limitUnsent(c, t.options.maxUnsentBytes) // Without the limit the link works as well.
	_ = c.SetDeadline(time.Now().Add(t.options.dialTimeout))
	ctx, cancel := context.WithTimeout(t.context, t.options.dialTimeout)
	defer cancel()
	address := c.RemoteAddr().String()
	secure, err := t.credentials.serverHandshake(ctx, c)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return newLink(t, address, t.byteCountersFor(address), secure, false)
}

// reportHandshakeFailure counts a failed handshake. An authentication failure is also passed to the
// WithAuthFailureHandler function.
func (t *Transport) reportHandshakeFailure(address string, err error) {
	if !errors.Is(err, errAuthFailed) {
		t.counters.countRefused(refusedHandshake)
		return
	}
	t.counters.countRefused(refusedProof)
	t.options.onAuthFailure(address, err)
}

func (t *Transport) byteCountersFor(address string) *byteCounters {
	if t.options.sameDomain(address) {
		return t.counters.bytes["same"]
	}
	return t.counters.bytes["other"]
}

// setNoDelay disables Nagle's algorithm, also on connections of a WithDial function that does not.
func setNoDelay(c net.Conn) {
	if n, ok := c.(*net.TCPConn); ok {
		_ = n.SetNoDelay(true)
	}
}

// Open opens a stream to an address over the pooled link, which it establishes if necessary. The stream is reset when
// the context ends before the stream is closed. A failed Open has sent nothing on a stream, so the peer has not started
// a handler.
func (t *Transport) Open(ctx context.Context, address string) (*Stream, error) {
	l, err := t.acquireLink(ctx, address)
	if err != nil {
		return nil, err
	}
	y, err := l.session.OpenStream()
	if err != nil {
		t.removeLink(l)
		l.releaseStream()
		l.close()
		t.counters.redialled.Inc()
		if l, err = t.acquireLink(ctx, address); err != nil {
			return nil, err
		}
		if y, err = l.session.OpenStream(); err != nil {
			l.releaseStream()
			return nil, newError("open", KindUnreachable, err)
		}
	}
	s := newStream(l, y, true)
	// The AfterFunc calls reset and thereby finish, which reads stopWatching. It is set under the lock that reset takes
	// first.
	s.mu.Lock()
	s.stopWatching = context.AfterFunc(ctx, func() {
		s.reset(newError("stream", KindCancelled, context.Cause(ctx)))
	})
	s.mu.Unlock()
	return s, nil
}

// acquireLink returns the link to an address with one stream reserved. It dials the address if necessary.
func (t *Transport) acquireLink(ctx context.Context, address string) (*link, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, newError("open", KindUnreachable, err)
		}
		t.mu.Lock()
		if t.context.Err() != nil {
			t.mu.Unlock()
			return nil, newError("open", KindClosed, nil)
		}
		if l := t.links[address]; l != nil {
			defer t.mu.Unlock()
			return t.reserveStream(l)
		}
		d, evicted, err := t.startOrJoinDial(address)
		t.mu.Unlock()
		if evicted != nil {
			t.counters.evicted.Inc()
			evicted.close()
		}
		if err != nil {
			return nil, err
		}
		if err := d.wait(ctx, t.options.connectWait); err != nil {
			return nil, err
		}
	}
}

// reserveStream reserves one stream on a link. mu must be held.
func (t *Transport) reserveStream(l *link) (*link, error) {
	if l.activeStreams.Load() >= int64(t.options.maxStreams) {
		t.counters.countRefused(refusedStreams)
		return nil, newError("open", KindLimit, errors.New("too many streams on the link"))
	}
	if l.silent() {
		t.counters.countRefused(refusedSilent)
		return nil, newError("open", KindUnreachable, errors.New("nothing received on the link recently"))
	}
	l.activeStreams.Add(1)
	l.touch()
	return l, nil
}

// startOrJoinDial returns the dial to an address that is in progress, or starts one. The returned link, if any, was
// evicted to stay within the limit and must be closed. mu must be held.
func (t *Transport) startOrJoinDial(address string) (*dial, *link, error) {
	if d := t.dials[address]; d != nil {
		return d, nil, nil
	}
	var evicted *link
	if len(t.links)+len(t.dials) >= t.options.maxLinks {
		if evicted = t.leastRecentlyUsedLink(); evicted == nil {
			t.counters.countRefused(refusedLinks)
			return nil, nil, newError("open", KindLimit, errors.New("too many links in use"))
		}
		delete(t.links, evicted.address)
	}
	d := &dial{done: make(chan struct{}), started: monotonicNanos()}
	if !t.spawn(func() { t.runDial(address, d) }) {
		return nil, evicted, newError("open", KindClosed, nil)
	}
	t.dials[address] = d
	return d, evicted, nil
}

// leastRecentlyUsedLink returns the least recently used link without streams, or nil. mu must be held.
func (t *Transport) leastRecentlyUsedLink() *link {
	var oldest *link
	for _, l := range t.links {
		if l.activeStreams.Load() > 0 {
			continue
		}
		if oldest == nil || l.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = l
		}
	}
	return oldest
}

// runDial establishes a link to an address and completes d.
func (t *Transport) runDial(address string, d *dial) {
	l, err := t.dialLink(address)
	t.mu.Lock()
	delete(t.dials, address)
	switch {
	case err != nil:
		d.err = err
	case t.context.Err() != nil:
		d.err = newError("open", KindClosed, nil)
	case l.session.IsClosed():
		d.err = newError("open", KindUnreachable, io.ErrUnexpectedEOF)
	default:
		t.links[address] = l
	}
	t.mu.Unlock()
	if d.err != nil && l != nil {
		l.close()
	}
	close(d.done)
}

func (t *Transport) dialLink(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(t.context, t.options.dialTimeout)
	defer cancel()
	c, err := t.options.dial(ctx, address)
	if err != nil {
		return nil, newError("dial", KindUnreachable, err)
	}
	// Closing the connection interrupts the handshake when the transport closes, which the connection deadline does not.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	setNoDelay(c)
	_ = limitUnsent(c, t.options.maxUnsentBytes) // Without the limit the link works as well.
	_ = c.SetDeadline(time.Now().Add(t.options.dialTimeout))
	secure, err := t.credentials.clientHandshake(ctx, c)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		_ = c.Close()
		t.reportHandshakeFailure(address, err)
		if errors.Is(err, errAuthFailed) {
			return nil, newError("dial", KindRefused, err)
		}
		return nil, newError("dial", KindUnreachable, err)
	}
	_ = c.SetDeadline(time.Time{})
	l, err := newLink(t, address, t.byteCountersFor(address), secure, true)
	if err != nil {
		_ = c.Close()
		return nil, newError("dial", KindUnreachable, err)
	}
	t.counters.dialled.Inc()
	return l, nil
}

// removeLink unregisters a link that is closed or being closed.
func (t *Transport) removeLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, l)
	if t.links[l.address] == l {
		delete(t.links, l.address)
	}
}

// Request sends a message on a new stream and returns the reply. It is limited by the context's deadline or, without
// one, by the request timeout.
func (t *Transport) Request(ctx context.Context, address string, m *wire.Envelope) (*wire.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.options.requestTimeout)
		defer cancel()
	}
	s, err := t.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := s.Send(m); err != nil {
		s.Reset()
		return nil, err
	}
	reply, err := s.Receive()
	if err != nil {
		s.Reset()
		return nil, err
	}
	_ = s.closeOutbound()
	return reply, nil
}

// Links returns the numbers of dialled and accepted links.
func (t *Transport) Links() (dialled, accepted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links), len(t.accepted)
}

// CloseAddress closes the dialled link to an address, if any, with its streams.
func (t *Transport) CloseAddress(address string) {
	t.mu.Lock()
	l := t.links[address]
	delete(t.links, address)
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// closeIdleLinks closes dialled links that had no streams for the idle timeout, until the transport closes.
func (t *Transport) closeIdleLinks() error {
	ticker := time.NewTicker(max(t.options.idleTimeout/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
			for _, l := range t.removeIdleLinks(monotonicNanos()) {
				t.counters.idle.Inc()
				l.close()
			}
		}
	}
}

func (t *Transport) removeIdleLinks(now int64) []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*link
	for address, l := range t.links {
		if l.activeStreams.Load() > 0 || now-l.lastUsed.Load() < int64(t.options.idleTimeout) {
			continue
		}
		delete(t.links, address)
		idle = append(idle, l)
	}
	return idle
}

// Close closes all listeners and links, cancels the contexts of the handlers and waits for them to return.
func (t *Transport) Close() error {
	t.spawnMu.Lock()
	t.closing = true
	t.spawnMu.Unlock()
	t.mu.Lock()
	t.cancel()
	var links []*link
	for _, l := range t.links {
		links = append(links, l)
	}
	for l := range t.accepted {
		links = append(links, l)
	}
	for n := range t.listeners {
		_ = n.Close()
	}
	for c := range t.handshaking {
		_ = c.Close()
	}
	t.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	t.tomb.Kill(nil)
	return t.tomb.Wait()
}
