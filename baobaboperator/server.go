package baobaboperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"goji.io"
	"goji.io/pat"
)

const (
	// defaultMaxBodyBytes is well above the largest resource text.
	defaultMaxBodyBytes = 1 << 20
	// defaultRequestTimeout bounds one request. A status waits for one relay per failure domain, an accept for three
	// requests to the platform.
	defaultRequestTimeout = 10 * time.Second
	// maxNameBytes bounds the name of a resource and an operation id.
	maxNameBytes = 128
)

// Causes of unauthorized requests.
const (
	causeTokenMissing = "missing"
	causeTokenWrong   = "wrong"
)

// A Server serves the operator API under /v1, which requires a token, and /metrics, /healthz and /readyz, which do not.
type Server struct {
	service        Service
	readiness      Readiness
	tokenDigest    [sha256.Size]byte // Comparing digests in constant time hides the length of the token too.
	clock          func() time.Time
	metrics        *metrics.Set
	maxBodyBytes   int64
	timeout        time.Duration
	mux            *goji.Mux
	onUnauthorized func(cause, address string)
	rollouts       RolloutService // Nil: the node orders no roll-outs.
}

// ServerOption sets an optional property of a Server.
type ServerOption func(*Server)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) ServerOption { return func(s *Server) { s.clock = clock } }

// WithMetrics sets the metrics that /metrics exposes and to which the server adds its own.
func WithMetrics(set *metrics.Set) ServerOption { return func(s *Server) { s.metrics = set } }

// WithMaxBodyBytes sets the largest request body.
func WithMaxBodyBytes(n int64) ServerOption { return func(s *Server) { s.maxBodyBytes = n } }

// WithTimeout sets the time allowed for one request.
func WithTimeout(d time.Duration) ServerOption { return func(s *Server) { s.timeout = d } }

// WithUnauthorizedHook sets a function that is called for each request without a valid token. The cause is "missing" or
// "wrong", the address that of the client.
func WithUnauthorizedHook(hook func(cause, address string)) ServerOption {
	return func(s *Server) { s.onUnauthorized = hook }
}

// NewServer returns a server that requires the token on all routes under /v1.
func NewServer(service Service, readiness Readiness, token string, options ...ServerOption) *Server {
	s := &Server{
		service: service, readiness: readiness, tokenDigest: sha256.Sum256([]byte(token)), clock: time.Now,
		metrics: metrics.NewSet(), maxBodyBytes: defaultMaxBodyBytes, timeout: defaultRequestTimeout, mux: goji.NewMux(),
		onUnauthorized: func(string, string) {},
	}
	for _, option := range options {
		option(s)
	}
	s.mux.HandleFunc(pat.Get("/healthz"), s.serveHealth)
	s.mux.HandleFunc(pat.Get("/metrics"), s.serveMetrics)
	s.mux.HandleFunc(pat.Get("/readyz"), s.serveReadiness)
	s.mux.Handle(pat.New("/v1/*"), s.routes())
	return s
}

// routes returns the handlers of the paths under /v1.
func (s *Server) routes() *goji.Mux {
	v1 := goji.SubMux()
	v1.Use(s.requireToken)
	v1.Handle(pat.Get("/resources"), s.handler("list", s.list))
	v1.Handle(pat.Get("/resources/:kind/:name"), s.handler("get", s.get))
	v1.Handle(pat.Put("/resources/:kind/:name"), s.handler("set", s.set))
	v1.Handle(pat.Delete("/resources/:kind/:name"), s.handler("delete", s.delete))
	v1.Handle(pat.Get("/diff"), s.handler("diff", s.diff))
	v1.Handle(pat.Post("/accept"), s.handler("accept", s.accept))
	v1.Handle(pat.Get("/status"), s.handler("status", s.status))
	v1.Handle(pat.Get("/node"), s.handler("node", s.node))
	s.addRolloutRoutes(v1)
	return v1
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// requireToken passes on only requests with the bearer token and counts the others.
func (s *Server) requireToken(next http.Handler) http.Handler {
	const name = "baobab_operator_unauthorized_total{cause=%q}"
	missing := s.metrics.GetOrCreateCounter(fmt.Sprintf(name, causeTokenMissing))
	wrong := s.metrics.GetOrCreateCounter(fmt.Sprintf(name, causeTokenWrong))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(token))
		switch {
		case !ok || token == "":
			missing.Inc()
			s.rejectUnauthorized(w, r, causeTokenMissing)
		case subtle.ConstantTimeCompare(digest[:], s.tokenDigest[:]) != 1:
			wrong.Inc()
			s.rejectUnauthorized(w, r, causeTokenWrong)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// rejectUnauthorized responds to a request without a valid token.
func (s *Server) rejectUnauthorized(w http.ResponseWriter, r *http.Request, cause string) {
	s.onUnauthorized(cause, r.RemoteAddr)
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, NewError("authorize", ErrorUnauthorized, "the bearer token is "+cause))
}

// handler runs an operation with a time limit and writes its result or its error as JSON.
func (s *Server) handler(operation string, run func(context.Context, *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), s.timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, s.maxBodyBytes)
		result, err := run(ctx, r)
		if err != nil {
			e := classifyError(operation, r.Method, err)
			s.countRequest(operation, string(e.kind))
			writeError(w, e)
			return
		}
		s.countRequest(operation, "done")
		writeJSON(w, http.StatusOK, result)
	})
}

func (s *Server) countRequest(operation, result string) {
	name := fmt.Sprintf("baobab_operator_requests_total{operation=%q,result=%q}", operation, result)
	s.metrics.GetOrCreateCounter(name).Inc()
}

// classifyError converts an error of the service to an *Error. A write that timed out may have been applied.
func classifyError(operation, method string, err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NewError(operation, ErrorTooLarge, fmt.Sprintf("the body has more than %d bytes", tooLarge.Limit))
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		if method == http.MethodGet {
			return NewError(operation, ErrorUnavailable, err.Error())
		}
		return NewError(operation, ErrorUnknownOutcome, err.Error())
	}
	return NewError(operation, ErrorInternal, err.Error())
}

func (s *Server) list(ctx context.Context, r *http.Request) (any, error) {
	kind := Kind(r.URL.Query().Get("kind"))
	if kind != "" && !kind.Valid() {
		return nil, NewError("list", ErrorInvalid, fmt.Sprintf("unknown kind %q", kind))
	}
	resources, err := s.service.ListResources(ctx, kind)
	if err != nil {
		return nil, errors.WithMessage(err, "list")
	}
	return resourceList{Resources: append([]Resource{}, resources...)}, nil
}

// resourceList is the response body of a list.
type resourceList struct {
	Resources []Resource `json:"resources"`
}

func (s *Server) get(ctx context.Context, r *http.Request) (any, error) {
	kind, name, err := parseResourcePath(r)
	if err != nil {
		return nil, err
	}
	return valueOrError(s.service.GetResource(ctx, kind, name))
}

func (s *Server) set(ctx context.Context, r *http.Request) (any, error) {
	kind, name, err := parseResourcePath(r)
	if err != nil {
		return nil, err
	}
	expectedRevision, err := parseExpectedRevision(r.Header)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, readBodyError("set", err)
	}
	if !json.Valid(text) {
		return nil, NewError("set", ErrorRejected, "the text is not JSON", WithProblems([]string{"the text is not JSON"}))
	}
	return valueOrError(s.service.SetResource(ctx, s.clock(), kind, name, text, expectedRevision))
}

func (s *Server) delete(ctx context.Context, r *http.Request) (any, error) {
	kind, name, err := parseResourcePath(r)
	if err != nil {
		return nil, err
	}
	expectedRevision, err := parseExpectedRevision(r.Header)
	if err != nil {
		return nil, err
	}
	if expectedRevision == 0 {
		return nil, NewError("delete", ErrorInvalid, "a delete needs If-Match with a revision")
	}
	return valueOrError(struct{}{}, s.service.DeleteResource(ctx, s.clock(), kind, name, expectedRevision))
}

func (s *Server) diff(ctx context.Context, _ *http.Request) (any, error) {
	d, err := s.service.Diff(ctx)
	if err != nil {
		return nil, err
	}
	d.Changes = append([]Change{}, d.Changes...)
	d.Problems = append([]string{}, d.Problems...)
	return d, nil
}

func (s *Server) accept(ctx context.Context, r *http.Request) (any, error) {
	var a acceptRequest
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return nil, readBodyError("accept", err)
	}
	if !validName(a.OperationID) {
		return nil, NewError("accept", ErrorInvalid, "operation_id is required, with at most 128 printable characters")
	}
	version, err := s.service.Accept(ctx, s.clock(), a.OperationID, a.ExpectedDigest)
	if err != nil {
		e := *classifyError("accept", r.Method, err)
		e.operationID = a.OperationID
		return nil, &e
	}
	return AcceptResult{OperationID: a.OperationID, Version: version}, nil
}

func (s *Server) status(ctx context.Context, _ *http.Request) (any, error) {
	return valueOrError(s.service.Status(ctx, s.clock()))
}

// node checks the readiness before it reads the version: a ready node stays ready and never goes back to an older
// version.
func (s *Server) node(ctx context.Context, _ *http.Request) (any, error) {
	ready, _ := s.readiness.Ready(s.clock())
	v, err := s.service.Node(ctx, s.clock())
	if err != nil {
		return nil, err
	}
	v.Ready = ready
	return v, nil
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.readiness.Ready(s.clock())
	if !ready {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// valueOrError returns the value as a response body, or nil and the error.
func valueOrError[T any](value T, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return value, nil
}

// readBodyError classifies an error that occurred while a request body was read.
func readBodyError(operation string, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	return NewError(operation, ErrorInvalid, "read body: "+err.Error())
}

// parseResourcePath returns the kind and the name in the path of a request.
func parseResourcePath(r *http.Request) (Kind, string, error) {
	kind := Kind(pat.Param(r, "kind"))
	if !kind.Valid() {
		return "", "", NewError("read path", ErrorInvalid, fmt.Sprintf("unknown kind %q", kind))
	}
	name := pat.Param(r, "name")
	if !validName(name) {
		return "", "", NewError("read path", ErrorInvalid, fmt.Sprintf("name %q is empty, too long or not printable", name))
	}
	return kind, name, nil
}

// validName reports whether a resource name or an operation id is printable ASCII without spaces and of a valid length.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

// parseExpectedRevision returns the revision in If-Match, or 0 for If-None-Match: *, which means that the resource must
// not exist.
func parseExpectedRevision(h http.Header) (uint64, error) {
	ifMatch := h.Get("If-Match")
	ifNoneMatch := h.Get("If-None-Match")
	switch {
	case ifMatch == "" && ifNoneMatch == "*":
		return 0, nil
	case ifMatch == "" || ifNoneMatch != "":
		return 0, NewError("read header", ErrorInvalid, `either If-Match: "revision" or If-None-Match: * is required`)
	}
	revision, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil || revision == 0 {
		return 0, NewError("read header", ErrorInvalid, fmt.Sprintf("If-Match %s is not a quoted revision", ifMatch))
	}
	return revision, nil
}

func writeError(w http.ResponseWriter, e *Error) {
	if e.kind == ErrorUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, e.kind.StatusCode(), struct {
		Error errorBody `json:"error"`
	}{e.body()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":{"kind":"internal","text":"the answer could not be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
