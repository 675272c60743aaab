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

// A Handler turns HTTP requests into calls of a Server and writes the answers.
type Handler struct {
	server         Server
	mux            *goji.Mux
	meters         *meters
	ids            *identifiers
	maxBodyBytes   int64         // Also the limit of answers to HTTP/1.0 callers.
	maxHeaderBytes int           // Sum of names and values.
	memory         *call.Memory  // Of the bodies of all calls in progress; nil means no bound.
	maxCalls       int64         // Calls in progress; 0 means no bound.
	bodyTimeout    time.Duration // Time in which the request body must arrive.
	writeTimeout   time.Duration // Time in which the caller must take each piece of the answer.
	clock          func() time.Time
	fields         call.Fields
	callerIDs      bool   // A call has the id that its caller gave it.
	service        string // Sent upstream as the caller's service where the field has a name.
	status         func(*call.Refusal) int
	retryAfter     func(time.Duration) string
	inProgress     atomic.Int64
	closing        atomic.Bool // Set: each answer asks the caller to close its connection.
}

// Option sets an optional property of a Handler.
type Option func(*Handler)

// WithMaxBodyBytes sets the largest request body.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.maxBodyBytes = n } }

// WithMemory bounds the bodies of all calls in progress together; further calls with a body are refused as queue_full.
func WithMemory(m *call.Memory) Option { return func(h *Handler) { h.memory = m } }

// WithMaxHeaderBytes sets the largest sum of header names and values.
func WithMaxHeaderBytes(n int) Option { return func(h *Handler) { h.maxHeaderBytes = n } }

// WithMaxCalls bounds the calls in progress; further ones are refused as queue_full.
func WithMaxCalls(n int) Option { return func(h *Handler) { h.maxCalls = int64(n) } }

// WithBodyTimeout sets the time in which a request body must arrive.
func WithBodyTimeout(d time.Duration) Option { return func(h *Handler) { h.bodyTimeout = d } }

// WithWriteTimeout sets the time in which the caller must take each piece of an answer.
func WithWriteTimeout(d time.Duration) Option { return func(h *Handler) { h.writeTimeout = d } }

// WithMetrics sets the set in which the edge's metrics are registered.
func WithMetrics(s *metrics.Set) Option { return func(h *Handler) { h.meters = newMeters(s) } }

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.clock = now } }

// WithFields replaces the names of the header fields.
func WithFields(f call.Fields) Option { return func(h *Handler) { h.fields = f } }

// WithCallerIDs takes the id of a call from its request where the request has one.
func WithCallerIDs() Option { return func(h *Handler) { h.callerIDs = true } }

// WithService names the service on whose VM calls enter the mesh. Upstreams get it with each call.
func WithService(name string) Option { return func(h *Handler) { h.service = name } }

// WithRefusals sets the HTTP status of a refusal and the text of Retry-After.
func WithRefusals(status func(*call.Refusal) int, retryAfter func(time.Duration) string) Option {
	return func(h *Handler) { h.status, h.retryAfter = status, retryAfter }
}

// NewHandler returns a handler for all hosts and paths.
func NewHandler(server Server, options ...Option) *Handler {
	h := &Handler{
		server:         server,
		mux:            goji.NewMux(),
		ids:            newIdentifiers(),
		maxBodyBytes:   defaultMaxBodyBytes,
		maxHeaderBytes: defaultMaxHeaderBytes,
		bodyTimeout:    defaultBodyTimeout,
		writeTimeout:   defaultWriteTimeout,
		clock:          time.Now,
		fields:         call.DefaultFields(),
		status:         statusOf,
		retryAfter:     wholeSeconds,
	}
	for _, o := range options {
		o(h)
	}
	if h.meters == nil {
		h.meters = newMeters(metrics.NewSet())
	}
	h.mux.HandleFunc(pat.New("/*"), h.serveCall)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect || r.URL.Path == "" || r.URL.Path[0] != '/' {
		h.setField(w.Header(), call.FieldCallID, h.ids.next())
		h.writeRefusal(w, notRun(call.ReasonMalformed, "request target must be a path"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Refusals returns the number of refusals by reason, without reasons that have not occurred.
func (h *Handler) Refusals() map[string]uint64 { return h.meters.refusalCounts() }

// Close makes each further answer ask the caller to close its connection. Calls are still served.
func (h *Handler) Close() { h.closing.Store(true) }

// callID returns the id that the caller gave the call, or a new one.
func (h *Handler) callID(r *http.Request) string {
	if !h.callerIDs {
		return h.ids.next()
	}
	if v := r.Header[h.fields.Name(call.FieldCallID)]; len(v) == 1 && v[0] != "" && len(v[0]) <= maxNameBytes {
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
		h.writeRefusal(w, notRun(call.ReasonQueueFull, "%d calls are in progress at this node", h.maxCalls).WithRetryAfter(time.Second))
		return
	}
	c, refusal := h.readCall(w, r, now, id)
	if refusal != nil {
		// The rest of the body may be unread, so the connection cannot carry another request.
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, refusal)
		return
	}
	defer h.memory.Give(int64(len(c.Body())))
	defer func() { h.meters.observe(c.Rank(), h.clock().Sub(now)) }()
	answer, refusal := h.server.Serve(r.Context(), now, c)
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
