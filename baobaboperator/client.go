package baobaboperator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabresponse"
)

const (
	// maxResponseBytes allows for the status of 4,000 nodes, each with a long reason.
	maxResponseBytes = 64 << 20
	// defaultRounds is the number of attempts at each node.
	defaultRounds = 3
	// defaultRoundDelay is the delay between two rounds, each of which tries all nodes.
	defaultRoundDelay = 200 * time.Millisecond
	// dialTimeout bounds the wait for a node that drops packets, so that the client tries the next one.
	dialTimeout = 2 * time.Second
	// defaultAttemptTimeout exceeds the server's request timeout, so that the server's response arrives.
	defaultAttemptTimeout = defaultRequestTimeout + 2*time.Second
)

// A Client calls the operator API. When a node is unavailable it tries the next one. A write whose response is lost
// is retried: an accept with the same operation id, an edit with the same expected revision, so that neither is
// applied twice. Errors are *Error values. A Client is safe for concurrent use.
type Client struct {
	baseURLs       []string // In the order in which they are tried.
	token          string
	http           *http.Client
	rounds         int
	roundDelay     time.Duration
	attemptTimeout time.Duration
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithRounds sets the number of attempts at each node.
func WithRounds(n int) ClientOption { return func(c *Client) { c.rounds = n } }

// WithRoundDelay sets the delay between two rounds, each of which tries all nodes.
func WithRoundDelay(d time.Duration) ClientOption { return func(c *Client) { c.roundDelay = d } }

// WithAttemptTimeout sets the time allowed for one attempt at one node.
func WithAttemptTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.attemptTimeout = d }
}

// NewClient returns a client of the nodes at addresses, each ip:port or a base URL.
func NewClient(addresses []string, token string, options ...ClientOption) (*Client, error) {
	c := &Client{
		token: token, rounds: defaultRounds, roundDelay: defaultRoundDelay, attemptTimeout: defaultAttemptTimeout,
		http: &http.Client{
			Transport: baobabresponse.NewTransport(&http.Transport{
				DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
				IdleConnTimeout: time.Minute,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, address := range addresses {
		baseURL, err := parseBaseURL(address)
		if err != nil {
			return nil, err
		}
		c.baseURLs = append(c.baseURLs, baseURL)
	}
	if len(c.baseURLs) == 0 {
		return nil, NewError("new client", ErrorInvalid, "no node address is given")
	}
	for _, option := range options {
		option(c)
	}
	return c, nil
}

// parseBaseURL returns the base URL of an address, with http as the default scheme.
func parseBaseURL(address string) (string, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Port() == "" || u.Hostname() == "" {
		return "", NewError("new client", ErrorInvalid, fmt.Sprintf("%q is not ip:port or a URL with a port", address))
	}
	return strings.TrimSuffix(address, "/"), nil
}

// NewOperationID returns a random id for an accept.
func NewOperationID() string { return rand.Text() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ListResources returns the resources of a kind, or of all kinds for an empty kind.
func (c *Client) ListResources(ctx context.Context, kind Kind) ([]Resource, error) {
	var list resourceList
	err := c.get(ctx, "list", "/v1/resources?kind="+url.QueryEscape(string(kind)), &list)
	return list.Resources, err
}

// GetResource returns a resource, or ErrorNotFound.
func (c *Client) GetResource(ctx context.Context, kind Kind, name string) (Resource, error) {
	var r Resource
	err := c.get(ctx, "get", resourcePath(kind, name), &r)
	return r, err
}

// SetResource writes a resource if it has the expected revision; 0 means that it must not exist.
func (c *Client) SetResource(ctx context.Context, kind Kind, name string, text []byte,
	expectedRevision uint64) (Resource, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	setRevisionPrecondition(header, expectedRevision)
	var r Resource
	lost, err := c.send(ctx, request{"set", http.MethodPut, resourcePath(kind, name), header, text}, &r)
	if lost && ErrorKindOf(err) == ErrorConflict {
		// The conflict is with an earlier attempt of this write if the current text is the one that was sent.
		if current, ok := currentResource(err); ok && SameText(current.Text, text) {
			return current, nil
		}
	}
	return r, err
}

// DeleteResource deletes a resource if it has the expected revision.
func (c *Client) DeleteResource(ctx context.Context, kind Kind, name string, expectedRevision uint64) error {
	header := http.Header{}
	setRevisionPrecondition(header, expectedRevision)
	lost, err := c.send(ctx, request{"delete", http.MethodDelete, resourcePath(kind, name), header, nil}, nil)
	if lost && ErrorKindOf(err) == ErrorNotFound {
		return nil
	}
	return err
}

// Diff compares the candidate with the version in force.
func (c *Client) Diff(ctx context.Context) (Diff, error) {
	var d Diff
	err := c.get(ctx, "diff", "/v1/diff", &d)
	return d, err
}

// Accept makes the candidate the next version. After ErrorUnknownOutcome it can be called again with the same operation
// id, at any time; the candidate is accepted at most once.
func (c *Client) Accept(ctx context.Context, operationID, expectedDigest string) (AcceptResult, error) {
	body, err := json.Marshal(acceptRequest{OperationID: operationID, ExpectedDigest: expectedDigest})
	if err != nil {
		return AcceptResult{}, NewError("accept", ErrorInternal, err.Error())
	}
	header := http.Header{"Content-Type": {"application/json"}}
	var a AcceptResult
	_, err = c.send(ctx, request{"accept", http.MethodPost, "/v1/accept", header, body}, &a)
	var e *Error
	if errors.As(err, &e) {
		e.operationID = operationID
	}
	return a, err
}

// Status returns the state of the mesh.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "status", "/v1/status", &s)
	return s, err
}

// Node returns what the responding node has in force.
func (c *Client) Node(ctx context.Context) (NodeView, error) {
	var v NodeView
	err := c.get(ctx, "node", "/v1/node", &v)
	return v, err
}

func resourcePath(kind Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// setRevisionPrecondition makes a write conditional on the revision of the resource; 0 means that it must not exist.
func setRevisionPrecondition(h http.Header, expectedRevision uint64) {
	if expectedRevision == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(expectedRevision)))
}

// currentResource returns the newer resource that a conflict carries, if any.
func currentResource(err error) (Resource, bool) {
	var e *Error
	if !errors.As(err, &e) {
		return Resource{}, false
	}
	return e.Current()
}

// A request is a request that any of the nodes can serve.
type request struct {
	operation string
	method    string
	path      string
	header    http.Header
	body      []byte
}

// get sends a request without side effects, so a lost response counts as ErrorUnavailable.
func (c *Client) get(ctx context.Context, operation, path string, out any) error {
	lost, err := c.send(ctx, request{operation: operation, method: http.MethodGet, path: path, header: http.Header{}}, out)
	if lost && ErrorKindOf(err) == ErrorUnknownOutcome {
		return NewError(operation, ErrorUnavailable, errorText(err))
	}
	return err
}

// send tries the nodes in turn until one returns a definite response. It reports whether the response to an attempt was
// lost, in which case that attempt may have been applied.
func (c *Client) send(ctx context.Context, r request, out any) (lost bool, err error) {
	var last *Error
	for round := range c.rounds {
		if round > 0 && !sleepContext(ctx, c.roundDelay) {
			break
		}
		for _, baseURL := range c.baseURLs {
			e := c.sendOnce(ctx, baseURL, r, out)
			if e == nil {
				return lost, nil
			}
			if e.kind != ErrorUnavailable && e.kind != ErrorUnknownOutcome {
				return lost, withLostAttempt(e, lost && r.method != http.MethodGet)
			}
			lost = lost || e.kind == ErrorUnknownOutcome
			last = e
			if ctx.Err() != nil {
				break
			}
		}
	}
	if lost {
		return true, NewError(r.operation, ErrorUnknownOutcome, errorText(last))
	}
	if last == nil {
		last = NewError(r.operation, ErrorUnavailable, "no attempt was made")
	}
	return false, last
}

// withLostAttempt returns the error of a node that responded. If the response to an earlier attempt of a write was lost,
// the text says so, because that attempt may have been applied.
func withLostAttempt(e *Error, lost bool) *Error {
	if !lost {
		return e
	}
	e.text += " (the answer to an earlier attempt was lost; that attempt may have been applied)"
	if e.kind == ErrorInternal {
		e.kind = ErrorUnknownOutcome
	}
	return e
}

func errorText(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.text
	}
	return err.Error()
}

// sleepContext waits for d and reports whether it did so before ctx ended.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendOnce sends the request to one node and decodes the response body into out. A failed dial is ErrorUnavailable, any
// other loss of the response ErrorUnknownOutcome.
func (c *Client) sendOnce(ctx context.Context, baseURL string, r request, out any) *Error {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, baseURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return NewError(r.operation, ErrorInvalid, err.Error())
	}
	req.Header = r.header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return NewError(r.operation, transportErrorKind(err), err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return NewError(r.operation, ErrorUnknownOutcome, fmt.Sprintf("%s: read answer: %v", baseURL, err))
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(r.operation, baseURL, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return NewError(r.operation, ErrorUnknownOutcome, fmt.Sprintf("%s: decode answer: %v", baseURL, err))
	}
	return nil
}

func transportErrorKind(err error) ErrorKind {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return ErrorUnavailable
	}
	return ErrorUnknownOutcome
}

// responseError decodes the error in a response body. Without one, the status code determines the kind.
func responseError(operation, baseURL string, status int, data []byte) *Error {
	var body struct {
		Error errorBody `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Kind != "" {
		return body.Error.toError()
	}
	kind := ErrorInternal
	for statusKind, code := range statusCodes {
		if code == status {
			kind = statusKind
		}
	}
	return NewError(operation, kind, fmt.Sprintf("%s answered status %d", baseURL, status))
}
