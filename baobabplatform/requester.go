package baobabplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabresponse"
)

// Defaults of a Requester.
const (
	defaultTimeout          = 2 * time.Second
	defaultMaxResponseBytes = 32 << 20 // More than MaxObjectBytes; a scan of 5,500 edits of 300 bytes is about 3 MiB.
	maxErrorResponseBytes   = 4 << 20  // The response to a conflict contains the current rows.
	maxIdleConnections      = 16
	idleTimeout             = 30 * time.Second
)

// TCP keep-alive probes detect a silent connection within 3 s while a request waits for a response, because a request
// that waits for changes has no shorter timeout.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// errEarlySuccess means that a response says that the platform has applied what it cannot have received.
var errEarlySuccess = errors.New("success before the request was sent")

// A Requester sends HTTP requests to the platform and classifies failures by what is known about their effect. It never
// retries a request.
type Requester struct {
	baseURL            string // Without a trailing slash.
	timeout            time.Duration
	maxResponseBytes   int64
	conflictStatus     int
	decodeConflictRows func([]byte) ([]Row, error)
	eraField           string        // Header field with the era of the store; empty: none.
	era                atomic.Uint64 // Highest one in a response so far.
	transport          *baobabresponse.Transport
	client             *http.Client
}

// RequesterOption sets an optional property of a Requester.
type RequesterOption func(*Requester)

// WithTimeout limits how long each request waits for the beginning of the response, and then for each further part of it.
// The default is 2 s.
func WithTimeout(d time.Duration) RequesterOption { return func(r *Requester) { r.timeout = d } }

// WithMaxResponseBytes limits the size of each successful response. The default is 32 MiB.
func WithMaxResponseBytes(n int64) RequesterOption {
	return func(r *Requester) { r.maxResponseBytes = n }
}

// WithConflict sets the status of the response to a transaction whose conditions do not hold, and the function that
// decodes the current rows in its body.
func WithConflict(status int, decode func([]byte) ([]Row, error)) RequesterOption {
	return func(r *Requester) { r.conflictStatus, r.decodeConflictRows = status, decode }
}

// WithEraField sets the name of the header field with the era of the store.
func WithEraField(name string) RequesterOption { return func(r *Requester) { r.eraField = name } }

// NewRequester returns a requester for the platform at an http or https address such as "http://127.0.0.1:7000".
func NewRequester(address string, options ...RequesterOption) (*Requester, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, NewError("configure", KindInvalid, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return nil, NewError("configure", KindInvalid, errors.Errorf("address %q is not an http address", address))
	}
	r := &Requester{
		baseURL:          strings.TrimRight(u.String(), "/"),
		timeout:          defaultTimeout,
		maxResponseBytes: defaultMaxResponseBytes,
	}
	for _, o := range options {
		o(r)
	}
	dialer := &net.Dialer{Timeout: r.timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	r.transport = baobabresponse.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // The limits on the response size then also limit memory.
	})
	r.client = &http.Client{
		Transport: r.transport,
		// Following a redirect would send a request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return r, nil
}

// Close closes idle connections.
func (r *Requester) Close() { r.transport.CloseIdleConnections() }

// Era returns the highest era of the store that a response has named, or 0.
func (r *Requester) Era() uint64 { return r.era.Load() }

// Read sends a request without effect, so every failure to get a response is KindUnavailable.
func (r *Requester) Read(ctx context.Context, operation, path string) (Response, error) {
	return r.ReadWithTimeout(ctx, r.timeout, operation, path)
}

// ReadWithTimeout is Read with a timeout of its own for the beginning of the response, for a request that waits for changes.
func (r *Requester) ReadWithTimeout(ctx context.Context, timeout time.Duration, operation, path string) (Response, error) {
	ctx, limit := limitResponse(ctx, timeout, r.timeout)
	defer limit.stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path, http.NoBody)
	if err != nil {
		return Response{}, NewError(operation, KindInvalid, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.distrustIdleConnections(ctx)
		return Response{}, NewError(operation, KindUnavailable, err)
	}
	defer response.Body.Close()
	response.Body = limit.body(response.Body)
	return r.readResponse(operation, response, KindUnavailable)
}

// Write sends a request with effect at most once. A failure after the transport began to send the body is
// KindUnknownOutcome, unless the response says that nothing was applied. The options modify the request before it is sent.
func (r *Requester) Write(
	ctx context.Context, operation, method, path, contentType string, data []byte, options ...func(*http.Request),
) (Response, error) {
	ctx, limit := limitResponse(ctx, r.timeout, r.timeout)
	defer limit.stop()
	body := newSingleUseBody(data)
	request, err := http.NewRequestWithContext(ctx, method, r.baseURL+path, body)
	if err != nil {
		return Response{}, NewError(operation, KindInvalid, err)
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", contentType)
	for _, o := range options {
		o(request)
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.distrustIdleConnections(ctx)
		// The platform applies a write only after it has read the whole body.
		if body.withdraw() {
			return Response{}, NewError(operation, KindUnavailable, err)
		}
		return Response{}, NewError(operation, KindUnknownOutcome, err)
	}
	defer response.Body.Close()
	response.Body = limit.body(response.Body)
	result, err := r.readResponse(operation, response, KindUnknownOutcome)
	if err == nil && !body.readWhole() {
		return Response{}, NewError(operation, KindUnknownOutcome, errEarlySuccess)
	}
	return result, err
}

// distrustIdleConnections closes the idle connections after a request without a response. They may have gone silent with the
// connection of that request, and each would cost a further request its timeout.
func (r *Requester) distrustIdleConnections(ctx context.Context) {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		r.transport.CloseIdleConnections()
	}
}

// readResponse returns a successful response, or an error whose kind follows from the status code. The kind is fallback
// for a truncated successful response and for a status code that says nothing about the effect.
func (r *Requester) readResponse(operation string, response *http.Response, fallback Kind) (Response, error) {
	era := r.observeEra(response.Header)
	data, err := r.readBody(operation, response, fallback)
	var e *Error
	if errors.As(err, &e) {
		e.era = era
	}
	return Response{data: data, era: era}, err
}

// observeEra returns the era of the store in a header, or 0.
func (r *Requester) observeEra(h http.Header) uint64 {
	if r.eraField == "" {
		return 0
	}
	era, err := strconv.ParseUint(h.Get(r.eraField), 10, 64)
	if err != nil {
		return 0
	}
	for {
		highest := r.era.Load()
		if era <= highest || r.era.CompareAndSwap(highest, era) {
			return era
		}
	}
}

// readBody is readResponse without the era.
func (r *Requester) readBody(operation string, response *http.Response, fallback Kind) ([]byte, error) {
	limit := r.maxResponseBytes
	if response.StatusCode != http.StatusOK {
		limit = maxErrorResponseBytes
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("answer is larger than %d bytes", limit)
	}
	statusErr := errors.Errorf("status %d: %.128q", response.StatusCode, bytes.TrimSpace(body))
	switch response.StatusCode {
	case http.StatusOK:
		if err != nil {
			return nil, NewError(operation, fallback, err)
		}
		return body, nil
	case r.conflictStatus:
		var rows []Row
		if err == nil {
			rows, err = r.decodeConflictRows(body)
		}
		if err != nil {
			// Nothing was applied, but the rows that are stored now are unknown.
			return nil, NewError(operation, KindUnavailable, err)
		}
		return nil, NewConflict(operation, rows)
	case http.StatusTooManyRequests:
		return nil, NewError(operation, KindThrottled, statusErr)
	case http.StatusServiceUnavailable:
		return nil, NewError(operation, KindUnavailable, statusErr)
	case http.StatusNotFound:
		var j struct {
			Error string `json:"error"`
		}
		// A 404 that does not come from the platform must not be taken for an absent row.
		if err == nil && json.Unmarshal(body, &j) == nil && j.Error == string(KindNotFound) {
			return nil, NewError(operation, KindNotFound, nil)
		}
		return nil, NewError(operation, KindInvalid, statusErr)
	case http.StatusGone:
		return nil, NewError(operation, KindGone, statusErr)
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError &&
		response.StatusCode != http.StatusRequestTimeout {
		return nil, NewError(operation, KindInvalid, statusErr)
	}
	return nil, NewError(operation, fallback, statusErr)
}
