package baobabcaller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	headerTimeoutLimit = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	defaultGrace       = 500 * time.Millisecond
	// headerSlackBytes lets the handler itself refuse and count a header that is slightly too large.
	headerSlackBytes = 8 << 10
	// quietTime is how long a connection must have been idle before it is closed, and how long none may have changed before
	// the edge ends. A request that is sent on an idle connection in the same moment is lost; HTTP/1.1 gives the server
	// no means against that.
	quietTime = 200 * time.Millisecond
	// quietLooks is how often the connections are looked at within quietTime.
	quietLooks = 10
)

// An Edge listens for callers. It owns one goroutine per listener, ended by Shutdown.
type Edge struct {
	handler     *Handler
	server      *http.Server
	connections *connections
	grace       time.Duration
	tomb        tomb.Tomb

	mu        sync.Mutex
	listeners []net.Listener // Guarded by mu.
	closing   bool           // Guarded by mu; the listeners are closed on purpose.
}

// EdgeOption sets an optional property of an Edge.
type EdgeOption func(*Edge)

// WithGrace sets how long Shutdown still accepts connections while answers ask callers to close theirs.
func WithGrace(d time.Duration) EdgeOption { return func(e *Edge) { e.grace = d } }

// NewEdge returns an edge that is not started.
func NewEdge(handler *Handler, options ...EdgeOption) *Edge {
	e := &Edge{handler: handler, grace: defaultGrace, connections: newConnections()}
	e.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeoutLimit,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    handler.maxHeaderBytes + headerSlackBytes,
		ConnState:         func(c net.Conn, s http.ConnState) { e.connections.track(time.Now(), c, s) },
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// Start accepts connections on the listeners, which the edge then owns.
func (e *Edge) Start(listeners ...net.Listener) {
	// This goroutine keeps the tomb alive until Shutdown, so that an edge without listeners can stop.
	e.tomb.Go(func() error {
		for _, l := range listeners {
			l = &countingListener{Listener: l, meters: e.handler.meters}
			e.add(l)
			e.tomb.Go(func() error { return e.accept(l) })
		}
		<-e.tomb.Dying()
		return nil
	})
}

func (e *Edge) add(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners = append(e.listeners, l)
	if e.closing {
		_ = l.Close()
	}
}

func (e *Edge) closeListeners() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closing = true
	for _, l := range e.listeners {
		_ = l.Close()
	}
}

func (e *Edge) isClosing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closing
}

func (e *Edge) accept(l net.Listener) error {
	err := e.server.Serve(l)
	if err == http.ErrServerClosed || e.isClosing() {
		return nil
	}
	return errors.Wrap(err, "accept callers")
}

// Dying is closed when the edge stops, also when a listener has failed.
func (e *Edge) Dying() <-chan struct{} { return e.tomb.Dying() }

// Shutdown asks callers to close their connections for the grace period while it still accepts, then closes the
// listeners and idle connections, and waits for requests in progress until ctx ends. It returns an error when requests were interrupted.
// http.Server.Shutdown is not used, because it closes a connection without an answer when a request on it is being read
// in the moment of the call.
func (e *Edge) Shutdown(ctx context.Context) error {
	e.handler.Close()
	timer := time.NewTimer(e.grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	e.closeListeners()
	err := e.connections.drain(ctx, quietTime)
	_ = e.server.Close()
	e.tomb.Kill(nil)
	if werr := e.tomb.Wait(); werr != nil && err == nil {
		return werr
	}
	return errors.Wrap(err, "shut down callers' edge")
}
