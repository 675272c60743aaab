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
	// probeConnections is how many of the connections that the upstream accepts are reserved for the prober.
	probeConnections = 1
	// maxStaleAttempts limits the attempts of a call that find an idle connection closed by the upstream.
	maxStaleAttempts      = 4
	dialTimeout           = time.Second
	idleConnectionTimeout = 30 * time.Second
	maxAnswerHeaderBytes  = 64 << 10
	maxRefusalBodyBytes   = 64 << 10
	refusalBodyTimeout    = 20 * time.Millisecond
)

var (
	errWrongCallID      = errors.New("answer has the id of another call")
	errProtocolSwitch   = errors.New("upstream switched protocols without a request to do so")
	errStaleConnections = errors.New("every idle connection tried was closed by the upstream")
)

// A Client sends calls to one upstream over at most as many connections as the upstream accepts. It never sends a call
// twice. It is safe for concurrent use.
type Client struct {
	address         string
	upstreamID      string // Sent with each call if headerNames has a name for it.
	headerNames     call.HeaderNames
	expectEchoedIDs bool // The upstream returns the id of the call with each answer.
	closeDelimited  bool // An answer that ends with its connection is complete.
	connections     *connectionSet
	transport       *http.Transport
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithHeaderNames replaces the names of the header fields.
func WithHeaderNames(f call.HeaderNames) ClientOption { return func(c *Client) { c.headerNames = f } }

// WithUpstreamID sets the id of the upstream that the calls are meant for, so that another process at the same address
// refuses them.
func WithUpstreamID(id string) ClientOption { return func(c *Client) { c.upstreamID = id } }

// WithEchoedIDs rejects each answer whose call id differs from that of the call. Without it, only ids of earlier calls on
// the same connection are rejected.
func WithEchoedIDs() ClientOption { return func(c *Client) { c.expectEchoedIDs = true } }

// WithCloseDelimited accepts an answer without a length as complete when the upstream closes the connection. Without it,
// such an answer counts as truncated, because a truncation looks the same where the network may close connections.
func WithCloseDelimited() ClientOption { return func(c *Client) { c.closeDelimited = true } }

// NewClient returns a client for the upstream at address, which accepts the given number of connections.
func NewClient(address string, connections int, options ...ClientOption) *Client {
	limit := max(connections-probeConnections, 1)
	set := newConnectionSet(address)
	c := &Client{address: address, headerNames: call.DefaultHeaderNames(), connections: set, transport: &http.Transport{
		DialContext:            func(ctx context.Context, _, _ string) (net.Conn, error) { return set.dial(ctx) },
		DisableCompression:     true,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		MaxIdleConns:           limit,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes idle connections. Calls in progress are not affected.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// ProcessEnded reports whether the process of the upstream has ended, as opposed to a call or a connection that failed. It
// watches the process for 100 ms at most, and returns false if it then goes on or ctx is done.
func (c *Client) ProcessEnded(ctx context.Context) bool { return c.connections.processEnded(ctx) }

// Do sends the call to the upstream and returns when the header of the answer has arrived or the call has failed. The
// deadline and the end of ctx cancel the call, also while the answer's body is read. The caller of Do must close the
// body of an answer.
func (c *Client) Do(ctx context.Context, now time.Time, k *call.Call, deadline time.Time) Result {
	remaining := deadline.Sub(now)
	if remaining <= 0 {
		return DeadlineExceeded{}
	}
	target, err := c.requestURL(k)
	if err != nil {
		return NotSent{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	start := time.Now()
	for range maxStaleAttempts {
		result, stale := c.send(ctx, cancel, k, target, remaining-time.Since(start))
		if !stale {
			return result
		}
	}
	cancel()
	return NotSent{err: errStaleConnections}
}

// requestURL returns the URL of the call. An opaque URL is sent unchanged; encoding the parsed path again could change
// it.
func (c *Client) requestURL(k *call.Call) (*url.URL, error) {
	u, err := url.ParseRequestURI(k.Target())
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(k.Target(), "//") {
		// net/url would take what follows two slashes for a host.
		u = &url.URL{Opaque: k.Target()}
	}
	u.Scheme, u.Host = "http", c.address
	return u, nil
}

// send makes one attempt. It returns stale if a reused connection failed before any byte was sent.
func (c *Client) send(
	ctx context.Context, cancel context.CancelFunc, k *call.Call, target *url.URL, remaining time.Duration,
) (result Result, stale bool) {
	a := &callAttempt{callID: k.ID()}
	request := c.newRequest(httptrace.WithClientTrace(ctx, a.trace()), k, target, remaining)
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // The reader of the answer closes it.
	if err != nil {
		sent := a.stopWrites()
		if ctx.Err() == nil && !sent && a.onReusedConnection() {
			return nil, true
		}
		result = classifyError(ctx, err, sent, a.onReusedConnection())
		cancel()
		return result, false
	}
	return c.classifyResponse(ctx, cancel, response, a), false
}

// classifyError returns the result of an attempt without a response.
func classifyError(ctx context.Context, err error, sent, reused bool) Result {
	switch {
	case deadlineExceeded(ctx):
		return DeadlineExceeded{sent: sent}
	case ctx.Err() != nil:
		return Cancelled{sent: sent}
	case !sent:
		return NotSent{err: err}
	default:
		return ConnectionFailed{err: err, reused: reused}
	}
}

// deadlineExceeded reports whether the deadline of the call has passed. It also reads the clock, because an upstream
// that observes the deadline may close the connection before the context's timer fires, which is not a crash.
func deadlineExceeded(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return true
	}
	deadline, ok := ctx.Deadline()
	return ok && ctx.Err() == nil && !time.Now().Before(deadline)
}

// classifyResponse returns the result of an attempt whose response header has arrived.
func (c *Client) classifyResponse(
	ctx context.Context, cancel context.CancelFunc, response *http.Response, a *callAttempt,
) Result {
	body := &answerBody{
		body: response.Body, ctx: ctx, cancel: cancel, ambiguousEnd: !c.closeDelimited && isCloseDelimited(response),
		trailer: &response.Trailer,
	}
	if err := c.checkResponse(response, a); err != nil {
		a.stopWrites()
		_ = body.Close()
		return ConnectionFailed{err: err, reused: a.onReusedConnection()}
	}
	if c.notStarted(response) {
		// Reads the rest so that the connection can be reused, unless it comes slowly: the refusal is known already.
		timer := time.AfterFunc(refusalBodyTimeout, cancel)
		_, _ = io.CopyN(io.Discard, body, maxRefusalBodyBytes)
		timer.Stop()
		_ = body.Close()
		return Refused{
			retryAfter: retryAfter(response.Header), misdirected: c.misdirected(response),
			notice: ParseNotice(c.headerNames, response.Header),
		}
	}
	if !a.answeredEarly() {
		return c.answered(response, body, body)
	}
	early := newEarlyBody(body, time.After(earlyAnswerWait))
	if early.broken() {
		result := classifyError(ctx, body.failure(), true, a.onReusedConnection())
		_ = body.Close()
		return result
	}
	return c.answered(response, body, early)
}

// answered returns the result for a response whose body is passed on as passedOn.
func (c *Client) answered(response *http.Response, body *answerBody, passedOn io.ReadCloser) *Answered {
	return &Answered{
		answer: call.NewAnswer(response.StatusCode, response.Header, passedOn), body: body,
		notice: ParseNotice(c.headerNames, response.Header),
	}
}

// notStarted reports whether the upstream states that it did not start the call, or that it is not the process that the
// call is meant for.
func (c *Client) notStarted(response *http.Response) bool {
	return c.misdirected(response) || response.StatusCode >= http.StatusBadRequest && response.Header.Get(c.headerNames.Name(call.FieldNotStarted)) == "1"
}

// misdirected reports whether the process that responded is not the upstream that the call is meant for.
func (c *Client) misdirected(response *http.Response) bool {
	return c.upstreamID != "" && c.headerNames.Name(call.FieldUpstreamID) != "" &&
		response.StatusCode == http.StatusMisdirectedRequest
}

// checkResponse returns an error if the response cannot be the answer to the call.
func (c *Client) checkResponse(response *http.Response, a *callAttempt) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	// If an upstream answers a request twice, the next call on the connection gets the second answer. Unless ids are
	// echoed, only ids of this connection count, because an upstream may forward the header of a call of its own.
	id := response.Header.Get(c.headerNames.Name(call.FieldCallID))
	if a.isEarlierCall(id) {
		return errWrongCallID
	}
	// The first answer on a connection can only be that of the call, so there a missing id is tolerated.
	if c.expectEchoedIDs && id != a.callID && (id != "" || a.onReusedConnection()) {
		return errWrongCallID
	}
	return nil
}

// isCloseDelimited reports whether the answer has neither a length nor chunked encoding, so that the end of its
// connection ends it.
func isCloseDelimited(r *http.Response) bool {
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
	c.setField(h, call.FieldCallID, k.ID())
	c.setField(h, call.FieldCaller, k.Caller())
	// Rounded up, because zero would mean that no time remains.
	c.setField(h, call.FieldTimeout, strconv.FormatInt(int64((remaining+time.Millisecond-1)/time.Millisecond), 10))
	c.setField(h, call.FieldRank, k.Rank())
	c.setField(h, call.FieldAccount, k.Account())
	c.setField(h, call.FieldIdempotencyKey, k.IdempotencyKey())
	c.setField(h, call.FieldUpstreamID, c.upstreamID)
	retried := ""
	if k.Retried() {
		retried = "1"
	}
	c.setField(h, call.FieldRetried, retried)
	if _, ok := h["User-Agent"]; !ok {
		// An explicit empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	return h
}

// setField sets the field, or deletes it if the value is empty. A field without a name is left alone.
func (c *Client) setField(h http.Header, field call.HeaderField, value string) {
	name := c.headerNames.Name(field)
	switch {
	case name == "":
	case value == "":
		delete(h, name)
	default:
		h[name] = []string{value}
	}
}
