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
)

const (
	// maxAnswerBytes allows for the status of 4,000 nodes, each with a long reason.
	maxAnswerBytes = 64 << 20
	// defaultRounds is how often each node is tried.
	defaultRounds = 3
	// defaultPause is the wait between two rounds.
	defaultPause = 200 * time.Millisecond
	// dialTimeout makes the client go on to the next node when one is cut off and drops packets.
	dialTimeout = 2 * time.Second
	// defaultAttemptTimeout is longer than the server's own limit, so that the server's answer arrives.
	defaultAttemptTimeout = defaultTimeout + 2*time.Second
)

// A Client calls the operators' API. It tries the next node when one is unavailable. A write whose answer is
// lost is sent again: an accept under the same operation id, an edit with the same expected revision, so that
// neither is applied twice. Errors are *Error values. It is safe for concurrent use.
type Client struct {
	addresses      []string // Base URLs, in the order in which they are tried.
	token          string
	http           *http.Client
	rounds         int
	pause          time.Duration
	attemptTimeout time.Duration
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithRounds sets how often each node is tried.
func WithRounds(n int) ClientOption { return func(c *Client) { c.rounds = n } }

// WithPause sets the wait between two rounds.
func WithPause(d time.Duration) ClientOption { return func(c *Client) { c.pause = d } }

// WithAttemptTimeout sets the time allowed for one attempt at one node.
func WithAttemptTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.attemptTimeout = d }
}

// NewClient returns a client of the nodes at addresses, each ip:port or a base URL.
func NewClient(addresses []string, token string, options ...ClientOption) (*Client, error) {
	c := &Client{
		token: token, rounds: defaultRounds, pause: defaultPause, attemptTimeout: defaultAttemptTimeout,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
				IdleConnTimeout: time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, a := range addresses {
		base, err := baseURL(a)
		if err != nil {
			return nil, err
		}
		c.addresses = append(c.addresses, base)
	}
	if len(c.addresses) == 0 {
		return nil, NewError("new client", ErrorInvalid, "no node address is given")
	}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

func baseURL(address string) (string, error) {
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
	err := c.read(ctx, "list", "/v1/resources?kind="+url.QueryEscape(string(kind)), &list)
	return list.Resources, err
}

// GetResource returns a resource, or ErrorNotFound.
func (c *Client) GetResource(ctx context.Context, kind Kind, name string) (Resource, error) {
	var r Resource
	err := c.read(ctx, "get", resourcePath(kind, name), &r)
	return r, err
}

// SetResource writes a resource if its revision is expect; 0 means that it must be absent.
func (c *Client) SetResource(ctx context.Context, kind Kind, name string, text []byte, expect uint64) (Resource, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	setExpected(header, expect)
	var r Resource
	lost, err := c.write(ctx, request{"set", http.MethodPut, resourcePath(kind, name), header, text}, &r)
	if lost && KindOf(err) == ErrorConflict {
		// An earlier attempt may have been applied: then the newer value is the one that was sent.
		if current, ok := conflictOf(err); ok && SameText(current.Text, text) {
			return current, nil
		}
	}
	return r, err
}

// DeleteResource deletes a resource if its revision is expect.
func (c *Client) DeleteResource(ctx context.Context, kind Kind, name string, expect uint64) error {
	header := http.Header{}
	setExpected(header, expect)
	lost, err := c.write(ctx, request{"delete", http.MethodDelete, resourcePath(kind, name), header, nil}, nil)
	if lost && KindOf(err) == ErrorNotFound {
		return nil
	}
	return err
}

// Diff compares the candidate with the version in force.
func (c *Client) Diff(ctx context.Context) (Diff, error) {
	var d Diff
	err := c.read(ctx, "diff", "/v1/diff", &d)
	return d, err
}

// Accept makes the candidate the next version. After ErrorUnknownOutcome the same operation id may be used
// again, now or later, and the candidate is still accepted at most once.
func (c *Client) Accept(ctx context.Context, operationID, expectedDigest string) (Accepted, error) {
	body, err := json.Marshal(acceptRequest{OperationID: operationID, ExpectedDigest: expectedDigest})
	if err != nil {
		return Accepted{}, NewError("accept", ErrorInternal, err.Error())
	}
	header := http.Header{"Content-Type": {"application/json"}}
	var a Accepted
	_, err = c.write(ctx, request{"accept", http.MethodPost, "/v1/accept", header, body}, &a)
	var e *Error
	if errors.As(err, &e) {
		e.operationID = operationID
	}
	return a, err
}

// Status returns the state of the mesh.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.read(ctx, "status", "/v1/status", &s)
	return s, err
}

// Node returns what the node that answers has in force.
func (c *Client) Node(ctx context.Context) (NodeView, error) {
	var v NodeView
	err := c.read(ctx, "node", "/v1/node", &v)
	return v, err
}

func resourcePath(kind Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func setExpected(h http.Header, expect uint64) {
	if expect == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(expect)))
}

func conflictOf(err error) (Resource, bool) {
	var e *Error
	if !errors.As(err, &e) {
		return Resource{}, false
	}
	return e.Current()
}

// request is one request to any of the nodes.
type request struct {
	operation string
	method    string
	path      string
	header    http.Header
	body      []byte
}

// read sends a request without effect; a lost answer is the same as an unavailable node.
func (c *Client) read(ctx context.Context, operation, path string, out any) error {
	lost, err := c.write(ctx, request{operation: operation, method: http.MethodGet, path: path, header: http.Header{}}, out)
	if lost && KindOf(err) == ErrorUnknownOutcome {
		return NewError(operation, ErrorUnavailable, textOf(err))
	}
	return err
}

// write sends a request to one node after the other until one gives a definite answer. It reports whether an
// answer was lost on the way, in which case an earlier attempt may have been applied.
func (c *Client) write(ctx context.Context, r request, out any) (lost bool, err error) {
	var last *Error
	for round := range c.rounds {
		if round > 0 && !sleep(ctx, c.pause) {
			break
		}
		for _, address := range c.addresses {
			e := c.attempt(ctx, address, r, out)
			if e == nil {
				return lost, nil
			}
			if e.kind != ErrorUnavailable && e.kind != ErrorUnknownOutcome {
				return lost, definite(e, lost && r.method != http.MethodGet)
			}
			lost = lost || e.kind == ErrorUnknownOutcome
			last = e
			if ctx.Err() != nil {
				break
			}
		}
	}
	if lost {
		return true, NewError(r.operation, ErrorUnknownOutcome, textOf(last))
	}
	if last == nil {
		last = NewError(r.operation, ErrorUnavailable, "no attempt was made")
	}
	return false, last
}

// definite returns the error of a node that answered. It says so when an earlier attempt of a write was lost,
// because that attempt may have been applied.
func definite(e *Error, lost bool) *Error {
	if !lost {
		return e
	}
	e.text += " (the answer to an earlier attempt was lost; that attempt may have been applied)"
	if e.kind == ErrorInternal {
		e.kind = ErrorUnknownOutcome
	}
	return e
}

func textOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.text
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request to one node. A connection that could not be opened is ErrorUnavailable, any
// other loss of the answer ErrorUnknownOutcome.
func (c *Client) attempt(ctx context.Context, address string, r request, out any) *Error {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, r.method, address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return NewError(r.operation, ErrorInvalid, err.Error())
	}
	q.Header = r.header.Clone()
	q.Header.Set("Authorization", "Bearer "+c.token)
	answer, err := c.http.Do(q)
	if err != nil {
		return NewError(r.operation, transportKind(err), err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return NewError(r.operation, ErrorUnknownOutcome, fmt.Sprintf("%s: read answer: %v", address, err))
	}
	if answer.StatusCode != http.StatusOK {
		return answerError(r.operation, address, answer.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return NewError(r.operation, ErrorUnknownOutcome, fmt.Sprintf("%s: decode answer: %v", address, err))
	}
	return nil
}

func transportKind(err error) ErrorKind {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return ErrorUnavailable
	}
	return ErrorUnknownOutcome
}

// answerError reads the error in an answer, or judges by the status code when the answer has none.
func answerError(operation, address string, status int, data []byte) *Error {
	var body struct {
		Error errorBody `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Kind != "" {
		return body.Error.toError()
	}
	kind := ErrorInternal
	for k, s := range statusByKind {
		if s == status {
			kind = k
		}
	}
	return NewError(operation, kind, fmt.Sprintf("%s answered status %d", address, status))
}
