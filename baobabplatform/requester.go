package baobabplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Requester.
const (
	defaultTimeout        = 2 * time.Second
	defaultMaxAnswerBytes = 32 << 20 // Above MaxObjectBytes; a scan of 5,500 edits of 300 bytes is about 3 MiB.
	maxErrorBytes         = 4 << 20  // A conflict carries the current rows.
	idleConnections       = 16
	idleTimeout           = 30 * time.Second
)

// Keepalive probes of the system find a connection that has fallen silent while it waits for an answer, within 3 s:
// a request that waits for a change has no shorter time-out of its own.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// A Requester sends requests to the platform and says what a failure tells about their effect. It never repeats a
// request.
type Requester struct {
	base           string // Without a slash at the end.
	timeout        time.Duration
	maxAnswerBytes int64
	conflictStatus int
	conflictRows   func([]byte) ([]Row, error)
	transport      *http.Transport
	client         *http.Client
}

// RequesterOption sets an optional property of a Requester.
type RequesterOption func(*Requester)

// WithTimeout limits each request, from connecting to the end of the answer. The default is 2 s.
func WithTimeout(d time.Duration) RequesterOption { return func(r *Requester) { r.timeout = d } }

// WithMaxAnswerBytes limits the size of each answer. The default is 32 MiB.
func WithMaxAnswerBytes(n int64) RequesterOption {
	return func(r *Requester) { r.maxAnswerBytes = n }
}

// WithConflict sets the status of an answer to a transaction whose conditions do not hold, and how the current rows are
// read from it.
func WithConflict(status int, rows func([]byte) ([]Row, error)) RequesterOption {
	return func(r *Requester) { r.conflictStatus, r.conflictRows = status, rows }
}

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
		base:           strings.TrimRight(u.String(), "/"),
		timeout:        defaultTimeout,
		maxAnswerBytes: defaultMaxAnswerBytes,
	}
	for _, o := range options {
		o(r)
	}
	dialer := &net.Dialer{Timeout: r.timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	r.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // Bounds on the answer are then bounds on memory.
	}
	r.client = &http.Client{
		Transport: r.transport,
		// A followed redirect would send a request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return r, nil
}

// Close closes idle connections.
func (r *Requester) Close() { r.transport.CloseIdleConnections() }

// Read sends a request without effect, so every failure to get an answer is KindUnavailable.
func (r *Requester) Read(ctx context.Context, operation, path string) ([]byte, error) {
	return r.ReadWithin(ctx, r.timeout, operation, path)
}

// ReadWithin is Read with a time-out of its own, for a request that waits for a change.
func (r *Requester) ReadWithin(ctx context.Context, timeout time.Duration, operation, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, http.NoBody)
	if err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	s, err := r.client.Do(q)
	if err != nil {
		return nil, NewError(operation, KindUnavailable, err)
	}
	defer s.Body.Close()
	return r.answer(operation, s, KindUnavailable)
}

// Write sends a request with effect exactly once. A failure after the body began to be sent is KindUnknownOutcome,
// unless the answer says that nothing was applied. The options change the request before it is sent.
func (r *Requester) Write(ctx context.Context, operation, method, path, contentType string, data []byte, options ...func(*http.Request)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	body := newSingleUseBody(data)
	q, err := http.NewRequestWithContext(ctx, method, r.base+path, body)
	if err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	q.ContentLength = int64(len(data))
	q.Header.Set("Content-Type", contentType)
	for _, o := range options {
		o(q)
	}
	s, err := r.client.Do(q)
	if err != nil {
		// The platform applies a write only after it has read the whole body.
		if body.withdraw() {
			return nil, NewError(operation, KindUnavailable, err)
		}
		return nil, NewError(operation, KindUnknownOutcome, err)
	}
	defer s.Body.Close()
	return r.answer(operation, s, KindUnknownOutcome)
}

// answer classifies an answer by its status code. Codes that say nothing about the effect, and answers that
// are truncated, are of the kind lost.
func (r *Requester) answer(operation string, s *http.Response, lost Kind) ([]byte, error) {
	limit := r.maxAnswerBytes
	if s.StatusCode != http.StatusOK {
		limit = maxErrorBytes
	}
	b, err := io.ReadAll(io.LimitReader(s.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = errors.Errorf("answer is larger than %d bytes", limit)
	}
	code := errors.Errorf("status %d: %.128q", s.StatusCode, bytes.TrimSpace(b))
	switch s.StatusCode {
	case http.StatusOK:
		if err != nil {
			return nil, NewError(operation, lost, err)
		}
		return b, nil
	case r.conflictStatus:
		var rows []Row
		if err == nil {
			rows, err = r.conflictRows(b)
		}
		if err != nil {
			// Nothing was applied, but without the rows the caller cannot tell what is stored now.
			return nil, NewError(operation, KindUnavailable, err)
		}
		return nil, NewConflict(operation, rows)
	case http.StatusTooManyRequests:
		return nil, NewError(operation, KindThrottled, code)
	case http.StatusServiceUnavailable:
		return nil, NewError(operation, KindUnavailable, code)
	case http.StatusNotFound:
		var j struct {
			Error string `json:"error"`
		}
		// A 404 of something else than the platform must not pass for an absent row.
		if err == nil && json.Unmarshal(b, &j) == nil && j.Error == string(KindNotFound) {
			return nil, NewError(operation, KindNotFound, nil)
		}
		return nil, NewError(operation, KindInvalid, code)
	case http.StatusGone:
		return nil, NewError(operation, KindGone, code)
	}
	if s.StatusCode >= http.StatusBadRequest && s.StatusCode < http.StatusInternalServerError &&
		s.StatusCode != http.StatusRequestTimeout {
		return nil, NewError(operation, KindInvalid, code)
	}
	return nil, NewError(operation, lost, code)
}
