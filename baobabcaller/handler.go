package baobabcaller

import (
	"context"
	"net/http"
	"strings"
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
	answerMemory      *call.BodyMemory // Limits the answers that are buffered.
	maxCalls          int64            // Calls in progress; 0 means no limit.
	bodyTimeout       time.Duration    // Timeout for receiving the request body.
	writeTimeout      time.Duration    // Timeout for each write of the answer.
	clock             func() time.Time
	headerNames       call.HeaderNames
	callIDsFromCaller bool   // The call id is taken from the request if present.
	parentInCallID    bool   // The part of a call id before its last dot is the id of the parent.
	callerService     string // Sent upstream in FieldCallerService if that has a name.
	refusalStatus     func(*call.Refusal) int
	formatRetryAfter  func(time.Duration) string
	readAhead         readAheadLimits
	mayRepeat         func(now time.Time, c *call.Call) bool // Whether a call may run more than once.
	onAheadCancelled  func(reason string, n int)
	onPanic           func(value any, stack []byte)
	spawn             func(func()) bool // Runs a function in a goroutine that the server waits for; false when it stops.
	inProgress        atomic.Int64
	draining          atomic.Bool // Each answer asks the caller to close its connection.
}

// Option sets an optional property of a Handler.
type Option func(*Handler)

// WithMaxBodyBytes sets the maximum size of a request body, and of an answer to an HTTP/1.0 caller.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.maxBodyBytes = n } }

// WithBodyMemory limits the total size of the bodies of all calls in progress. Calls whose body exceeds what is left are
// refused as queue_full. Answers that are kept for HTTP/1.0 callers may use a quarter of it in addition.
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

// WithReadAhead hands on up to requests requests of a connection while others before them are unanswered, and reads up to
// bytes bytes ahead. Only calls for which mayRepeat returns true go before their turn.
func WithReadAhead(requests, bytes int, mayRepeat func(now time.Time, c *call.Call) bool) Option {
	return func(h *Handler) {
		h.readAhead, h.mayRepeat = readAheadLimits{requests: requests, bytes: bytes}, mayRepeat
	}
}

// WithAheadCancelledHandler sets a function that is called when n calls that were handed on before their turn are
// cancelled, because their connection ends. It must not block.
func WithAheadCancelledHandler(f func(reason string, n int)) Option {
	return func(h *Handler) { h.onAheadCancelled = f }
}

// WithPanicHandler sets a function that is called when a call that was handed on before its turn panics.
func WithPanicHandler(f func(value any, stack []byte)) Option {
	return func(h *Handler) { h.onPanic = f }
}

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.clock = now } }

// WithHeaderNames replaces the names of the header fields.
func WithHeaderNames(n call.HeaderNames) Option { return func(h *Handler) { h.headerNames = n } }

// WithCallIDsFromCaller uses the call id in the request, if there is one, instead of a generated id.
func WithCallIDsFromCaller() Option { return func(h *Handler) { h.callIDsFromCaller = true } }

// WithParentInCallID takes the part of a call id before its last dot as the id of the call during which an upstream makes
// the call, unless the request names that id.
func WithParentInCallID() Option { return func(h *Handler) { h.parentInCallID = true } }

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
		mayRepeat:        func(time.Time, *call.Call) bool { return false },
		onAheadCancelled: func(string, int) {},
		onPanic:          func(any, []byte) {},
		spawn:            func(func()) bool { return false },
	}
	for _, o := range options {
		o(h)
	}
	h.answerMemory = newAnswerMemory(h.bodyMemory)
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
		h.writeRefusal(w, connOf(r), notRunRefusal(call.ReasonMalformed, "request target must be a path"))
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

// parentID returns the id of the call during which an upstream makes the call with the given id, or an empty string. The
// id only counts while that call is in progress at the upstream of this node.
func (h *Handler) parentID(header http.Header, id string) (string, *call.Refusal) {
	parent, refusal := readSingleValue(header, h.headerNames.Name(call.FieldParentID))
	if refusal != nil || parent != "" || !h.parentInCallID {
		return parent, refusal
	}
	if dot := strings.LastIndexByte(id, '.'); dot > 0 {
		return id[:dot], nil
	}
	return "", nil
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r)
	if a := conn.begin(r); a != nil {
		h.serveAhead(w, r, conn, a)
		return
	}
	now := h.clock()
	id := h.callID(r)
	h.setField(w.Header(), call.FieldCallID, id)
	defer h.inProgress.Add(-1)
	if h.inProgress.Add(1) > h.maxCalls && h.maxCalls > 0 {
		h.refuseUnread(w, r, conn, notRunRefusal(call.ReasonQueueFull, "%d calls are in progress at this node", h.maxCalls).
			WithRetryAfter(time.Second))
		return
	}
	ambiguous, unclear := conn.malformed()
	if ambiguous {
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, conn, notRunRefusal(call.ReasonMalformed, "request has both a length and chunks"))
		return
	}
	if unclear {
		w.Header().Set("Connection", "close")
	}
	c, refusal := h.readCall(w, r, now, id)
	if refusal != nil {
		h.refuseUnread(w, r, conn, refusal)
		return
	}
	defer h.bodyMemory.Release(int64(len(c.Body())))
	if conn.callerLeft() {
		h.metrics.callerGone.Inc()
		panic(http.ErrAbortHandler)
	}
	conn.serve(r, c)
	answer, refusal := h.callServer.Serve(r.Context(), now, c)
	h.finishCall(w, r, conn, c, now, answer, refusal)
}

// refuseUnread refuses a request that may have an unread body, after which its connection cannot carry another request.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, conn *pipelinedConn, refusal *call.Refusal) {
	if r.Body != nil && r.Body != http.NoBody {
		w.Header().Set("Connection", "close")
	}
	h.writeRefusal(w, conn, refusal)
}

// finishCall writes the answer or the refusal of a call that arrived at a time.
func (h *Handler) finishCall(w http.ResponseWriter, r *http.Request, conn *pipelinedConn, c *call.Call, arrived time.Time,
	answer *call.Answer, refusal *call.Refusal) {
	defer func() { h.metrics.observeDuration(c.Rank(), h.clock().Sub(arrived)) }()
	if refusal == nil && (answer == nil || !validStatus(answer.Status())) {
		refusal = call.NewRefusal(call.ReasonUpstreamFailed, call.OutcomeUnknown, "upstream gave no valid answer")
	}
	if refusal != nil {
		closeBody(answer)
		h.writeRefusal(w, conn, refusal)
		return
	}
	h.writeAnswer(w, r, conn, answer)
}

// newAheadCall returns the call of a request that was read ahead, or nil if it must wait for its turn.
func (h *Handler) newAheadCall(number int, raw []byte, remoteAddress string) *aheadCall {
	now := h.clock()
	r := readAheadRequest(raw, remoteAddress)
	if r == nil || r.Body != nil && r.Body != http.NoBody {
		return nil
	}
	c, refusal := h.readCall(nil, r, now, h.callID(r))
	if refusal != nil || !h.mayRepeat(now, c) {
		return nil
	}
	return &aheadCall{number: number, request: r, arrived: now, call: c, memory: h.bodyMemory, onPanic: h.onPanic, done: make(chan struct{})}
}

// startAhead serves a call before its turn. It returns false when the node serves no further call now.
func (h *Handler) startAhead(ctx context.Context, a *aheadCall) bool {
	if h.inProgress.Add(1) > h.maxCalls && h.maxCalls > 0 {
		h.inProgress.Add(-1)
		return false
	}
	started := h.spawn(func() {
		defer h.inProgress.Add(-1)
		a.run(ctx, h.callServer)
	})
	if !started {
		h.inProgress.Add(-1)
		return false
	}
	h.metrics.aheadHandedOn.Inc()
	return true
}

// serveAhead writes the answer of a call that was handed on before its turn.
func (h *Handler) serveAhead(w http.ResponseWriter, r *http.Request, conn *pipelinedConn, a *aheadCall) {
	h.setField(w.Header(), call.FieldCallID, a.call.ID())
	conn.handOn()
	select {
	case <-a.done:
	case <-r.Context().Done():
		a.cancel()
		<-a.done
	}
	defer a.release()
	h.finishCall(w, r, conn, a.call, a.arrived, a.answer, a.refusal)
}
