package baobabcaller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	goji "goji.io"
	"goji.io/pat"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
)

// A Handler converts HTTP requests to calls, passes them to a CallServer and writes the answers.
type Handler struct {
	callServer        CallServer
	mux               *goji.Mux
	metrics           *handlerMetrics
	ids               *idGenerator
	maxBodyBytes      int64            // Also the limit of answers to HTTP/1.0 callers.
	maxHeaderBytes    int              // Sum of names and values with their separators.
	bodyMemory        *call.BodyMemory // Limits the bodies of all calls in progress; nil means no limit.
	maxCalls          int64            // Calls in progress; 0 means no limit.
	bodyTimeout       time.Duration    // Timeout for receiving the request body.
	writeTimeout      time.Duration    // Timeout for each write of the answer.
	clock             func() time.Time
	headerNames       call.HeaderNames
	callIDsFromCaller bool   // The call id is taken from the request if present.
	callerService     string // Sent upstream in FieldCallerService if that has a name.
	refusalStatus     func(*call.Refusal) int
	formatRetryAfter  func(time.Duration) string
	inProgress        atomic.Int64
	draining          atomic.Bool // Each answer asks the caller to close its connection.
}

// Option sets an optional property of a Handler.
type Option func(*Handler)

// WithMaxBodyBytes sets the maximum size of a request body, and of an answer to an HTTP/1.0 caller.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.maxBodyBytes = n } }

// WithBodyMemory limits the total size of the bodies of all calls in progress. Calls whose body exceeds what is left are
// refused as queue_full.
func WithBodyMemory(m *call.BodyMemory) Option { return func(h *Handler) { h.bodyMemory = m } }

// WithMaxHeaderBytes sets the maximum total size of header names and values with their separators.
func WithMaxHeaderBytes(n int) Option { return func(h *Handler) { h.maxHeaderBytes = n } }

// WithMaxCalls sets the maximum number of calls in progress. Further calls are refused as queue_full.
func WithMaxCalls(n int) Option { return func(h *Handler) { h.maxCalls = int64(n) } }

// WithBodyTimeout sets the timeout for receiving a request body.
func WithBodyTimeout(d time.Duration) Option { return func(h *Handler) { h.bodyTimeout = d } }

// WithWriteTimeout sets the timeout for each write of an answer to the caller.
func WithWriteTimeout(d time.Duration) Option { return func(h *Handler) { h.writeTimeout = d } }

// WithMetrics sets the metrics set in which the handler's metrics are registered.
func WithMetrics(s *metrics.Set) Option { return func(h *Handler) { h.metrics = newHandlerMetrics(s) } }

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.clock = now } }

// WithHeaderNames replaces the names of the header fields.
func WithHeaderNames(n call.HeaderNames) Option { return func(h *Handler) { h.headerNames = n } }

// WithCallIDsFromCaller uses the call id in the request, if there is one, instead of a generated id.
func WithCallIDsFromCaller() Option { return func(h *Handler) { h.callIDsFromCaller = true } }

// WithCallerService sets the service on whose VM calls enter the mesh. It is sent to upstreams with each call.
func WithCallerService(name string) Option { return func(h *Handler) { h.callerService = name } }

// WithRefusalFormat sets the functions that return the HTTP status of a refusal and the value of Retry-After.
func WithRefusalFormat(status func(*call.Refusal) int, retryAfter func(time.Duration) string) Option {
	return func(h *Handler) { h.refusalStatus, h.formatRetryAfter = status, retryAfter }
}

// NewHandler returns a handler for all hosts and paths.
func NewHandler(server CallServer, options ...Option) *Handler {
	h := &Handler{
		callServer:       server,
		mux:              goji.NewMux(),
		ids:              newIDGenerator(),
		maxBodyBytes:     defaultMaxBodyBytes,
		maxHeaderBytes:   defaultMaxHeaderBytes,
		bodyTimeout:      defaultBodyTimeout,
		writeTimeout:     defaultWriteTimeout,
		clock:            time.Now,
		headerNames:      call.DefaultHeaderNames(),
		refusalStatus:    defaultRefusalStatus,
		formatRetryAfter: retryAfterSeconds,
	}
	for _, o := range options {
		o(h)
	}
	if h.metrics == nil {
		h.metrics = newHandlerMetrics(metrics.NewSet())
	}
	h.mux.HandleFunc(pat.New("/*"), h.serveCall)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect || r.URL.Path == "" || r.URL.Path[0] != '/' {
		h.setField(w.Header(), call.FieldCallID, h.ids.next())
		h.writeRefusal(w, notRunRefusal(call.ReasonMalformed, "request target must be a path"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Refusals returns the number of refusals by reason, without reasons that did not occur.
func (h *Handler) Refusals() map[string]uint64 { return h.metrics.refusalCounts() }

// StartDraining makes all further answers ask the caller to close its connection. Calls are still served.
func (h *Handler) StartDraining() { h.draining.Store(true) }

// callID returns the id from the request, if that is enabled and the id is valid, or a new one.
func (h *Handler) callID(r *http.Request) string {
	if !h.callIDsFromCaller {
		return h.ids.next()
	}
	if v := r.Header[h.headerNames.Name(call.FieldCallID)]; len(v) == 1 && v[0] != "" && len(v[0]) <= maxFieldValueBytes {
		return v[0]
	}
	return h.ids.next()
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	now := h.clock()
	id := h.callID(r)
	h.setField(w.Header(), call.FieldCallID, id)
	defer h.inProgress.Add(-1)
	if h.inProgress.Add(1) > h.maxCalls && h.maxCalls > 0 {
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, notRunRefusal(call.ReasonQueueFull, "%d calls are in progress at this node", h.maxCalls).
			WithRetryAfter(time.Second))
		return
	}
	c, refusal := h.readCall(w, r, now, id)
	if refusal != nil {
		// The rest of the body may be unread, so the connection cannot carry another request.
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, refusal)
		return
	}
	defer h.bodyMemory.Release(int64(len(c.Body())))
	defer func() { h.metrics.observeDuration(c.Rank(), h.clock().Sub(now)) }()
	answer, refusal := h.callServer.Serve(r.Context(), now, c)
	if refusal == nil && (answer == nil || !validStatus(answer.Status())) {
		refusal = call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "upstream gave no valid answer")
	}
	if refusal != nil {
		closeBody(answer)
		h.writeRefusal(w, refusal)
		return
	}
	h.writeAnswer(w, r, answer)
}
