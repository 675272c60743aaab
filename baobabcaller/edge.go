package baobabcaller

import (
	"context"
	"net"
	"net/http"
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
)

// An Edge listens for callers. It owns one goroutine per listener, ended by Shutdown.
type Edge struct {
	handler *Handler
	server  *http.Server
	grace   time.Duration
	tomb    tomb.Tomb
}

// EdgeOption sets an optional property of an Edge.
type EdgeOption func(*Edge)

// WithGrace sets how long Shutdown still accepts connections while answers ask callers to close theirs.
func WithGrace(d time.Duration) EdgeOption { return func(e *Edge) { e.grace = d } }

// NewEdge returns an edge that is not started.
func NewEdge(handler *Handler, options ...EdgeOption) *Edge {
	e := &Edge{handler: handler, grace: defaultGrace}
	e.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeoutLimit,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    handler.maxHeaderBytes + headerSlackBytes,
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
			e.tomb.Go(func() error { return e.accept(l) })
		}
		<-e.tomb.Dying()
		return nil
	})
}

func (e *Edge) accept(l net.Listener) error {
	err := e.server.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return errors.Wrap(err, "accept callers")
}

// Dying is closed when the edge stops, also when a listener has failed.
func (e *Edge) Dying() <-chan struct{} { return e.tomb.Dying() }

// Shutdown asks callers to close their connections for the grace period while it still accepts, then closes the
// listeners and waits for requests in progress until ctx ends. It returns an error when requests were interrupted.
func (e *Edge) Shutdown(ctx context.Context) error {
	e.handler.Close()
	timer := time.NewTimer(e.grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := e.server.Shutdown(ctx)
	if err != nil {
		_ = e.server.Close()
	}
	e.tomb.Kill(nil)
	if werr := e.tomb.Wait(); werr != nil && err == nil {
		return werr
	}
	return errors.Wrap(err, "shut down callers' edge")
}
