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

// Defaults of a Client.
const (
	defaultTimeout        = 2 * time.Second
	defaultMaxAnswerBytes = 32 << 20 // Above MaxObjectBytes; a scan of 5,500 edits of 300 bytes is about 3 MiB.
	maxErrorBytes         = 4 << 20  // A conflict carries the current rows.
	idleConnections       = 16
	idleTimeout           = 30 * time.Second
)

// A Client is a Store that talks to the platform over HTTP. It never repeats a request.
type Client struct {
	base           string // Without a slash at the end.
	timeout        time.Duration
	maxAnswerBytes int64
	transport      *http.Transport
	client         *http.Client
}

var _ Store = (*Client)(nil)

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithTimeout limits each operation, from connecting to the end of the answer. The default is 2 s.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithMaxAnswerBytes limits the size of each answer. The default is 32 MiB.
func WithMaxAnswerBytes(n int64) ClientOption { return func(c *Client) { c.maxAnswerBytes = n } }

// NewClient returns a client of the platform at an http or https address such as "http://127.0.0.1:7000".
func NewClient(address string, options ...ClientOption) (*Client, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, NewError("configure", KindInvalid, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return nil, NewError("configure", KindInvalid, errors.Errorf("address %q is not an http address", address))
	}
	c := &Client{
		base:           strings.TrimRight(u.String(), "/"),
		timeout:        defaultTimeout,
		maxAnswerBytes: defaultMaxAnswerBytes,
	}
	for _, o := range options {
		o(c)
	}
	c.transport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: c.timeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // Bounds on the answer are then bounds on memory.
	}
	c.client = &http.Client{
		Transport: c.transport,
		// A followed redirect would send a request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Row, bool, error) {
	const operation = "get"
	if err := CheckKey(key); err != nil {
		return Row{}, false, NewError(operation, KindInvalid, err)
	}
	a, err := c.read(ctx, operation, "/v1/table/row?key="+url.QueryEscape(key))
	if KindOf(err) == KindNotFound {
		return Row{}, false, nil
	}
	if err != nil {
		return Row{}, false, err
	}
	var r Row
	if err := json.Unmarshal(a, &r); err != nil {
		return Row{}, false, NewError(operation, KindUnavailable, err)
	}
	if r.key != key || r.revision == 0 {
		return Row{}, false, NewError(operation, KindUnavailable, errors.Errorf("answer for key %.64q, want %.64q", r.key, key))
	}
	return r, true, nil
}

// Scan implements Store.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	const operation = "scan"
	a, err := c.read(ctx, operation, "/v1/table/scan?prefix="+url.QueryEscape(prefix))
	if err != nil {
		return nil, err
	}
	var j struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(a, &j); err != nil {
		return nil, NewError(operation, KindUnavailable, err)
	}
	for i, r := range j.Rows {
		if !strings.HasPrefix(r.key, prefix) || r.revision == 0 || (i > 0 && j.Rows[i-1].key >= r.key) {
			return nil, NewError(operation, KindUnavailable, errors.Errorf("unexpected or unsorted row %.64q", r.key))
		}
	}
	return j.Rows, nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	const operation = "commit"
	if err := tx.Validate(); err != nil {
		return 0, NewError(operation, KindInvalid, err)
	}
	data, err := json.Marshal(tx)
	if err != nil {
		return 0, NewError(operation, KindInvalid, err)
	}
	a, err := c.write(ctx, operation, http.MethodPost, "/v1/table/commit", "application/json", data)
	if err != nil {
		return 0, err
	}
	var j struct {
		Revision *uint64 `json:"revision"`
	}
	if err := json.Unmarshal(a, &j); err != nil {
		return 0, NewError(operation, KindUnknownOutcome, err)
	}
	if j.Revision == nil {
		return 0, NewError(operation, KindUnknownOutcome, errors.New("answer has no revision"))
	}
	return *j.Revision, nil
}

// PutObject implements Store.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	const operation = "put object"
	if err := CheckObjectName(name); err != nil {
		return NewError(operation, KindInvalid, err)
	}
	if len(data) == 0 || len(data) > MaxObjectBytes {
		return NewError(operation, KindInvalid, errors.Errorf("object has %d bytes, want 1 to %d", len(data), MaxObjectBytes))
	}
	_, err := c.write(ctx, operation, http.MethodPut, "/v1/objects/"+name, "application/octet-stream", data)
	return err
}

// GetObject implements Store.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	const operation = "get object"
	if err := CheckObjectName(name); err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	return c.read(ctx, operation, "/v1/objects/"+name)
}

// CheckObjectName returns an error unless the name consists of segments of letters, digits, "_", "-" and "."
// between slashes.
func CheckObjectName(name string) error {
	if len(name) > MaxKeyBytes {
		return errors.Errorf("object name has %d bytes, limit %d", len(name), MaxKeyBytes)
	}
	for segment := range strings.SplitSeq(name, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isForbiddenInObjectName) {
			return errors.Errorf("invalid object name %.64q", name)
		}
	}
	return nil
}

func isForbiddenInObjectName(r rune) bool { return !strings.ContainsRune(objectNameCharacters, r) }

const objectNameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-."

// read sends a request without effect, so every failure to get an answer is KindUnavailable.
func (c *Client) read(ctx context.Context, operation, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	s, err := c.client.Do(q)
	if err != nil {
		return nil, NewError(operation, KindUnavailable, err)
	}
	defer s.Body.Close()
	return c.answer(operation, s, KindUnavailable)
}

// write sends a request with effect exactly once. A failure after the body began to be sent is
// KindUnknownOutcome, unless the answer says that nothing was applied.
func (c *Client) write(ctx context.Context, operation, method, path, contentType string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := newSingleUseBody(data)
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	q.ContentLength = int64(len(data))
	q.Header.Set("Content-Type", contentType)
	s, err := c.client.Do(q)
	if err != nil {
		// The platform applies a write only after it has read the whole body.
		if body.withdraw() {
			return nil, NewError(operation, KindUnavailable, err)
		}
		return nil, NewError(operation, KindUnknownOutcome, err)
	}
	defer s.Body.Close()
	return c.answer(operation, s, KindUnknownOutcome)
}

// answer classifies an answer by its status code. Codes that say nothing about the effect, and answers that
// are truncated, are of the kind lost.
func (c *Client) answer(operation string, s *http.Response, lost Kind) ([]byte, error) {
	limit := c.maxAnswerBytes
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
	case http.StatusConflict:
		var j struct {
			Rows []Row `json:"rows"`
		}
		if err == nil {
			err = json.Unmarshal(b, &j)
		}
		if err != nil {
			// Nothing was applied, but without the rows the caller cannot tell what is stored now.
			return nil, NewError(operation, KindUnavailable, err)
		}
		return nil, NewConflict(operation, j.Rows)
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
	}
	if s.StatusCode >= http.StatusBadRequest && s.StatusCode < http.StatusInternalServerError &&
		s.StatusCode != http.StatusRequestTimeout {
		return nil, NewError(operation, KindInvalid, code)
	}
	return nil, NewError(operation, lost, code)
}
