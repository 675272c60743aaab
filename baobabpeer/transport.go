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

// Idle goroutines are kept for the next streams: starting one and growing its stack takes a tenth of a request.
const maxIdleWorkers = 32

// A Transport holds the links of a node. It is safe for concurrent use. It counts into the metrics
// baobab_peer_links_opened_total, baobab_peer_links_closed_total, baobab_peer_redials_total,
// baobab_peer_refused_total, baobab_peer_link_bytes_total and baobab_peer_stream_bytes_total.
type Transport struct {
	credentials Credentials
	options     options
	counters    *counters
	context     context.Context // Ends when the transport closes.
	cancel      context.CancelFunc
	tomb        tomb.Tomb

	spawnMu sync.RWMutex
	closing bool // No goroutine is started any more.
	jobs    chan func()
	idle    atomic.Int64 // Workers that wait for a job.

	mu        sync.Mutex
	links     map[string]*link // Dialled links by address.
	dials     map[string]*dial
	accepted  map[*link]struct{}
	entering  map[net.Conn]struct{} // Accepted connections that are being authenticated.
	listeners map[net.Listener]struct{}
}

// NewTransport returns a transport without links. The caller must close it.
func NewTransport(c Credentials, list ...Option) *Transport {
	t := &Transport{
		credentials: c,
		options:     newOptions(list),
		jobs:        make(chan func()),
		links:       map[string]*link{},
		dials:       map[string]*dial{},
		accepted:    map[*link]struct{}{},
		entering:    map[net.Conn]struct{}{},
		listeners:   map[net.Listener]struct{}{},
	}
	t.counters = newCounters(t.options.set)
	t.context, t.cancel = context.WithCancel(context.Background())
	t.tomb.Go(t.closeIdle)
	return t
}

// spawn runs a function in a goroutine that Close waits for. It reports false when the transport is closing.
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
			t.work(f)
			return nil
		})
	}
	return true
}

// work runs a job and then those that follow while it is idle.
func (t *Transport) work(f func()) {
	for {
		f()
		if t.idle.Add(1) > maxIdleWorkers {
			t.idle.Add(-1)
			return
		}
		select {
		case f = <-t.jobs:
			t.idle.Add(-1)
		case <-t.context.Done():
			t.idle.Add(-1)
			return
		}
	}
}

// Serve accepts links from a listener and calls the handler for each of their streams. It takes ownership of the
// listener and returns nil after Close, else the error of the listener.
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
	for {
		c, err := n.Accept()
		if err != nil {
			if t.context.Err() != nil {
				return nil
			}
			var network net.Error
			if errors.As(err, &network) && network.Timeout() {
				continue
			}
			return newError("serve", KindUnreachable, err)
		}
		if !t.enter(c) {
			t.counters.refused(refusedAccepted)
			_ = c.Close()
			continue
		}
		if !t.spawn(func() { t.accept(c, h) }) {
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

// enter admits an accepted connection within the bound.
func (t *Transport) enter(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.context.Err() != nil || len(t.accepted)+len(t.entering) >= t.options.maxAccepted {
		return false
	}
	t.entering[c] = struct{}{}
	return true
}

// accept authenticates a connection and serves its streams.
func (t *Transport) accept(c net.Conn, h Handler) {
	l, err := t.authenticate(c)
	t.mu.Lock()
	delete(t.entering, c)
	if err == nil && t.context.Err() == nil {
		t.accepted[l] = struct{}{}
	}
	t.mu.Unlock()
	if err != nil {
		t.refuseHandshake(c.RemoteAddr().String(), err)
		_ = c.Close()
		return
	}
	t.counters.accepted.Inc()
	defer t.forget(l)
	if t.context.Err() != nil {
		l.close()
		return
	}
	l.serve(h)
}

func (t *Transport) authenticate(c net.Conn) (*link, error) {
	noDelay(c)
	_ = c.SetDeadline(time.Now().Add(t.options.dialTimeout))
	ctx, cancel := context.WithTimeout(t.context, t.options.dialTimeout)
	defer cancel()
	address := c.RemoteAddr().String()
	secure, err := t.credentials.accepted(ctx, c)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return newLink(t, address, t.bytesOf(address), secure, false)
}

// refuseHandshake counts a link that could not be authenticated, and reports a wrong proof.
func (t *Transport) refuseHandshake(address string, err error) {
	if !errors.Is(err, errWrongProof) {
		t.counters.refused(refusedHandshake)
		return
	}
	t.counters.refused(refusedProof)
	t.options.refused(address, err)
}

func (t *Transport) bytesOf(address string) *byteCounters {
	if t.options.sameDomain(address) {
		return t.counters.bytes["same"]
	}
	return t.counters.bytes["other"]
}

// noDelay turns Nagle's algorithm off, also where a replaced dial function does not.
func noDelay(c net.Conn) {
	if n, ok := c.(*net.TCPConn); ok {
		_ = n.SetNoDelay(true)
	}
}

// Open opens a stream to an address over the pooled link, which it establishes if necessary. The stream is reset
// when the context ends before it is closed. A failed Open has sent nothing, so the other side did not start
// anything.
func (t *Transport) Open(ctx context.Context, address string) (*Stream, error) {
	l, err := t.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	y, err := l.session.OpenStream()
	if err != nil {
		t.forget(l)
		l.release()
		l.close()
		t.counters.redialled.Inc()
		if l, err = t.acquire(ctx, address); err != nil {
			return nil, err
		}
		if y, err = l.session.OpenStream(); err != nil {
			l.release()
			return nil, newError("open", KindUnreachable, err)
		}
	}
	s := newStream(l, y, true)
	// The watcher runs reset, which calls finish, so unwatch is set under the lock that reset takes first.
	s.mu.Lock()
	s.unwatch = context.AfterFunc(ctx, func() {
		s.reset(newError("stream", KindCancelled, context.Cause(ctx)))
	})
	s.mu.Unlock()
	return s, nil
}

// acquire returns the link to an address with one use added.
func (t *Transport) acquire(ctx context.Context, address string) (*link, error) {
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
			return t.use(l)
		}
		d, victim, err := t.join(address)
		t.mu.Unlock()
		if victim != nil {
			t.counters.evicted.Inc()
			victim.close()
		}
		if err != nil {
			return nil, err
		}
		if err := d.wait(ctx, t.options.connectPatience); err != nil {
			return nil, err
		}
	}
}

// use adds one use to a link. The caller holds mu.
func (t *Transport) use(l *link) (*link, error) {
	if l.active.Load() >= int64(t.options.maxStreams) {
		t.counters.refused(refusedStreams)
		return nil, newError("open", KindLimit, errors.New("streams of the link"))
	}
	if l.silent() {
		t.counters.refused(refusedSilent)
		return nil, newError("open", KindUnreachable, errors.New("the link is silent"))
	}
	l.active.Add(1)
	l.touch()
	return l, nil
}

// join returns the running dial to an address, or starts one. It returns a link that must be closed to stay within
// the bound. The caller holds mu.
func (t *Transport) join(address string) (*dial, *link, error) {
	if d := t.dials[address]; d != nil {
		return d, nil, nil
	}
	var victim *link
	if len(t.links)+len(t.dials) >= t.options.maxLinks {
		if victim = t.leastRecentlyUsed(); victim == nil {
			t.counters.refused(refusedLinks)
			return nil, nil, newError("open", KindLimit, errors.New("links of the node"))
		}
		delete(t.links, victim.address)
	}
	d := &dial{done: make(chan struct{}), started: monotonic()}
	if !t.spawn(func() { t.connect(address, d) }) {
		return nil, victim, newError("open", KindClosed, nil)
	}
	t.dials[address] = d
	return d, victim, nil
}

// leastRecentlyUsed returns the link without streams that was used last, or nil. The caller holds mu.
func (t *Transport) leastRecentlyUsed() *link {
	var oldest *link
	for _, l := range t.links {
		if l.active.Load() > 0 {
			continue
		}
		if oldest == nil || l.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = l
		}
	}
	return oldest
}

// connect establishes a link and ends its dial.
func (t *Transport) connect(address string, d *dial) {
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
	// Closing the connection ends a handshake that the deadline does not end, when the transport closes.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	noDelay(c)
	_ = c.SetDeadline(time.Now().Add(t.options.dialTimeout))
	secure, err := t.credentials.dialled(ctx, c)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		_ = c.Close()
		t.refuseHandshake(address, err)
		if errors.Is(err, errWrongProof) {
			return nil, newError("dial", KindRefused, err)
		}
		return nil, newError("dial", KindUnreachable, err)
	}
	_ = c.SetDeadline(time.Time{})
	l, err := newLink(t, address, t.bytesOf(address), secure, true)
	if err != nil {
		_ = c.Close()
		return nil, newError("dial", KindUnreachable, err)
	}
	t.counters.dialled.Inc()
	return l, nil
}

// forget removes a link that is closed or being closed.
func (t *Transport) forget(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, l)
	if t.links[l.address] == l {
		delete(t.links, l.address)
	}
}

// Request sends a message on a stream of its own and returns the answer. It is bounded by the context's deadline or,
// without one, by the request timeout.
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
	answer, err := s.Receive()
	if err != nil {
		s.Reset()
		return nil, err
	}
	_ = s.closeDialled()
	return answer, nil
}

// Links returns the number of dialled and of accepted links.
func (t *Transport) Links() (dialled, accepted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links), len(t.accepted)
}

// CloseAddress closes the link to an address, if any, with its streams.
func (t *Transport) CloseAddress(address string) {
	t.mu.Lock()
	l := t.links[address]
	delete(t.links, address)
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// closeIdle closes links without streams after the idle limit.
func (t *Transport) closeIdle() error {
	ticker := time.NewTicker(max(t.options.idleLimit/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
			for _, l := range t.takeIdle(monotonic()) {
				t.counters.idle.Inc()
				l.close()
			}
		}
	}
}

func (t *Transport) takeIdle(now int64) []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*link
	for address, l := range t.links {
		if l.active.Load() > 0 || now-l.lastUsed.Load() < int64(t.options.idleLimit) {
			continue
		}
		delete(t.links, address)
		idle = append(idle, l)
	}
	return idle
}

// Close closes all listeners and links, ends the contexts of the handlers and waits for them.
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
	for c := range t.entering {
		_ = c.Close()
	}
	t.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	t.tomb.Kill(nil)
	return t.tomb.Wait()
}
