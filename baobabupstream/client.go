package baobabupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// probeConnections of the upstream's connections are kept for the prober.
	probeConnections = 1
	// staleAttempts bounds how many idle connections that the upstream has closed a call passes over.
	staleAttempts       = 4
	dialTimeout         = time.Second
	idleConnectionLimit = 30 * time.Second
	maxAnswerHeader     = 64 << 10
	refusalBytes        = 64 << 10
)

var (
	errCrossed     = errors.New("answer carries the id of another call")
	errSwitch      = errors.New("upstream switched protocols without request")
	errStaleClosed = errors.New("idle connections were closed by the upstream")
)

// A Client hands calls to one upstream over at most as many connections as it accepts. It never sends a call twice.
// It is safe for concurrent use.
type Client struct {
	address        string
	upstreamID     string // Sent with each call where the field has a name.
	fields         call.Fields
	echoed         bool // Upstreams return the id of the call with each answer.
	closeDelimited bool // An answer without a length that ends with a closed connection is complete.
	transport      *http.Transport
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithFields replaces the names of the header fields.
func WithFields(f call.Fields) ClientOption { return func(c *Client) { c.fields = f } }

// WithUpstreamID names the process that the client means, so that another one at the same address refuses the call.
func WithUpstreamID(id string) ClientOption { return func(c *Client) { c.upstreamID = id } }

// WithEchoedIDs takes an answer with another id than that of the call for the answer to another call. Without it only
// ids of earlier calls on the same connection count.
func WithEchoedIDs() ClientOption { return func(c *Client) { c.echoed = true } }

// WithCloseDelimited takes an answer without a length as complete when the upstream closes the connection. Without it
// such an answer counts as truncated, because a lost end looks the same where the network may close connections.
func WithCloseDelimited() ClientOption { return func(c *Client) { c.closeDelimited = true } }

// NewClient returns a client for the upstream at address, which accepts the given number of connections.
func NewClient(address string, connections int, options ...ClientOption) *Client {
	limit := max(connections-probeConnections, 1)
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: conn}, nil
	}
	c := &Client{address: address, fields: call.DefaultFields(), transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnectionLimit,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		MaxIdleConns:           limit,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes idle connections. Calls in progress end normally.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do hands the call to the upstream and returns when the answer's header has arrived or the call has failed. The
// deadline and the end of ctx cancel the call, also while its answer is read. The reader of an answer must close
// its body.
func (c *Client) Do(ctx context.Context, now time.Time, k *call.Call, deadline time.Time) Result {
	remaining := deadline.Sub(now)
	if remaining <= 0 {
		return DeadlineReached{}
	}
	target, err := c.target(k)
	if err != nil {
		return NotSent{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	start := time.Now()
	for range staleAttempts {
		result, stale := c.send(ctx, cancel, k, target, remaining-time.Since(start))
		if !stale {
			return result
		}
	}
	cancel()
	return NotSent{err: errStaleClosed}
}

// target returns where the call goes. The opaque form is sent as it is; encoding the parsed path again could change it.
func (c *Client) target(k *call.Call) (*url.URL, error) {
	u, err := url.ParseRequestURI(k.Target())
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(k.Target(), "//") {
		// The library would take what follows two slashes for a host.
		u = &url.URL{Opaque: k.Target()}
	}
	u.Scheme, u.Host = "http", c.address
	return u, nil
}

// send makes one attempt. It reports stale when an idle connection turned out to be closed before any byte was sent.
func (c *Client) send(ctx context.Context, cancel context.CancelFunc, k *call.Call, target *url.URL, remaining time.Duration) (result Result, stale bool) {
	a := &attempt{callID: k.ID()}
	request := c.newRequest(httptrace.WithClientTrace(ctx, a.trace()), k, target, remaining)
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // The reader of the answer closes it.
	if err != nil {
		sent := a.sent()
		if ctx.Err() == nil && !sent && a.onReusedConnection() {
			return nil, true
		}
		result = failed(ctx, err, sent, a.onReusedConnection())
		cancel()
		return result, false
	}
	return c.accepted(ctx, cancel, response, a), false
}

func failed(ctx context.Context, err error, sent, reused bool) Result {
	switch {
	case deadlineOver(ctx):
		return DeadlineReached{sent: sent}
	case ctx.Err() != nil:
		return Cancelled{sent: sent}
	case !sent:
		return NotSent{err: err}
	default:
		return Died{err: err, reused: reused}
	}
}

// deadlineOver reports whether the call's time is over. It reads the clock, because an upstream that keeps the
// deadline may end the connection before the context's timer has run, which is not a crash.
func deadlineOver(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return true
	}
	deadline, ok := ctx.Deadline()
	return ok && ctx.Err() == nil && !time.Now().Before(deadline)
}

// accepted classifies a response whose header has arrived.
func (c *Client) accepted(ctx context.Context, cancel context.CancelFunc, response *http.Response, a *attempt) Result {
	body := &answerBody{body: response.Body, ctx: ctx, cancel: cancel, unbounded: !c.closeDelimited && endsWithConnection(response)}
	if err := c.violation(response, a); err != nil {
		a.sent()
		_ = body.Close()
		return Died{err: err, reused: a.onReusedConnection()}
	}
	if c.notStarted(response) {
		// The rest is read so that the connection can be used again.
		_, _ = io.CopyN(io.Discard, body, refusalBytes)
		_ = body.Close()
		return Refused{retryAfter: retryAfter(response.Header)}
	}
	return &Answered{answer: call.NewAnswer(response.StatusCode, response.Header, body), body: body}
}

// notStarted reports whether the upstream says that it did not start the call. One that is not the process that the
// call names has not started it either.
func (c *Client) notStarted(response *http.Response) bool {
	if c.upstreamID != "" && c.fields.Name(call.FieldUpstreamID) != "" && response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return response.StatusCode >= http.StatusBadRequest && response.Header.Get(c.fields.Name(call.FieldNotStarted)) == "1"
}

// violation returns why the response cannot be the answer to the call, or nil.
func (c *Client) violation(response *http.Response, a *attempt) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errSwitch
	}
	// An upstream that sends two answers to one request leaves the second on the connection for the next call.
	// Only ids of this connection count, because an upstream may pass on the header of a call that it made itself.
	id := response.Header.Get(c.fields.Name(call.FieldCallID))
	if a.crossed(id) || c.echoed && id != "" && id != a.callID {
		return errCrossed
	}
	return nil
}

// endsWithConnection reports whether the answer has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

func (c *Client) newRequest(ctx context.Context, k *call.Call, target *url.URL, remaining time.Duration) *http.Request {
	request := &http.Request{
		Method:        k.Method(),
		URL:           target,
		Host:          k.Host(),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.requestHeader(k, remaining),
		Body:          requestBody{r: bytes.NewReader(k.Body())},
		ContentLength: int64(len(k.Body())),
	}
	return request.WithContext(ctx)
}

func (c *Client) requestHeader(k *call.Call, remaining time.Duration) http.Header {
	h := k.Header().Clone()
	if h == nil {
		h = http.Header{}
	}
	c.set(h, call.FieldCallID, k.ID())
	c.set(h, call.FieldCaller, k.Caller())
	// Rounded up, because zero would mean no time at all.
	c.set(h, call.FieldTimeout, strconv.FormatInt(int64((remaining+time.Millisecond-1)/time.Millisecond), 10))
	c.set(h, call.FieldRank, k.Rank())
	c.set(h, call.FieldIdempotencyKey, k.IdempotencyKey())
	c.set(h, call.FieldUpstreamID, c.upstreamID)
	retried := ""
	if k.Retried() {
		retried = "1"
	}
	c.set(h, call.FieldRetried, retried)
	if _, ok := h["User-Agent"]; !ok {
		// An explicit empty value keeps the library from adding its own.
		h.Set("User-Agent", "")
	}
	return h
}

// set sets or deletes a field that has a name.
func (c *Client) set(h http.Header, field call.Field, value string) {
	name := c.fields.Name(field)
	switch {
	case name == "":
	case value == "":
		delete(h, name)
	default:
		h[name] = []string{value}
	}
}
