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
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	defaultGracePeriod = 500 * time.Millisecond
	// headerSlackBytes is added to http.Server's limit, so that the handler itself refuses and counts a header that is
	// slightly too large.
	headerSlackBytes = 8 << 10
	// quietPeriod is how long a connection must be idle before Shutdown closes it, and how long no connection may change
	// its state before the server stops. A request that is sent on an idle connection at the moment of closing is lost;
	// in HTTP/1.1 the server cannot prevent that.
	quietPeriod = 200 * time.Millisecond
	// quietPeriodChecks is the number of checks of the connections per quietPeriod.
	quietPeriodChecks = 10
)

// An HTTPServer accepts callers' connections and serves their requests with a Handler. It runs one goroutine per
// listener until Shutdown.
type HTTPServer struct {
	handler     *Handler
	server      *http.Server
	connections *connTracker
	gracePeriod time.Duration
	tomb        tomb.Tomb

	mu        sync.Mutex
	listeners []net.Listener // Guarded by mu.
	closing   bool           // Guarded by mu; Shutdown closes the listeners.
	closed    bool           // Guarded by mu; Shutdown has closed the connections.
}

// HTTPServerOption sets an optional property of an HTTPServer.
type HTTPServerOption func(*HTTPServer)

// WithGracePeriod sets how long Shutdown continues to accept connections while answers ask callers to close theirs.
func WithGracePeriod(d time.Duration) HTTPServerOption {
	return func(s *HTTPServer) { s.gracePeriod = d }
}

// NewHTTPServer returns a server that is not started.
func NewHTTPServer(handler *Handler, options ...HTTPServerOption) *HTTPServer {
	s := &HTTPServer{handler: handler, gracePeriod: defaultGracePeriod, connections: newConnTracker()}
	s.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    handler.maxHeaderBytes + headerSlackBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if p, ok := c.(*pipelinedConn); ok {
				return p.attach(ctx)
			}
			return ctx
		},
		ConnState: func(c net.Conn, state http.ConnState) { s.connections.track(time.Now(), c, state) },
	}
	for _, o := range options {
		o(s)
	}
	handler.spawn = s.spawn
	return s
}

// spawn runs f in a goroutine that Shutdown waits for. It returns false when the server has closed its connections.
func (s *HTTPServer) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tomb.Go(func() error {
		f()
		return nil
	})
	return true
}

// Start accepts connections on the listeners and takes ownership of them.
func (s *HTTPServer) Start(listeners ...net.Listener) {
	// This goroutine keeps the tomb alive until Shutdown, so that a server without listeners can stop.
	s.tomb.Go(func() error {
		for _, l := range listeners {
			l = &countingListener{Listener: l, handler: s.handler}
			s.addListener(l)
			s.tomb.Go(func() error { return s.serveListener(l) })
		}
		<-s.tomb.Dying()
		return nil
	})
}

func (s *HTTPServer) addListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	if s.closing {
		_ = l.Close()
	}
}

func (s *HTTPServer) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

func (s *HTTPServer) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *HTTPServer) serveListener(l net.Listener) error {
	err := s.server.Serve(l)
	if err == http.ErrServerClosed || s.isClosing() {
		return nil
	}
	return errors.Wrap(err, "accept connections of callers")
}

// Dying returns a channel that is closed when the server stops, also after a listener has failed.
func (s *HTTPServer) Dying() <-chan struct{} { return s.tomb.Dying() }

// Shutdown stops the server gracefully. For the grace period it continues to accept connections while answers ask
// callers to close theirs. Then it closes the listeners and idle connections and waits for requests in progress until
// ctx ends. It returns an error when requests were interrupted.
//
// http.Server.Shutdown is not used, because it closes connections on which a request is just being read, so that the
// caller gets no answer.
func (s *HTTPServer) Shutdown(ctx context.Context) error {
	s.handler.StartDraining()
	timer := time.NewTimer(s.gracePeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.closeListeners()
	err := s.connections.drain(ctx, quietPeriod)
	_ = s.server.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.tomb.Kill(nil)
	if werr := s.tomb.Wait(); werr != nil && err == nil {
		return werr
	}
	return errors.Wrap(err, "shut down the HTTP server for callers")
}
