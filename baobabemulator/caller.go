package baobabemulator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// A CallerRequest is what a stand-in caller sends. Each request has unique content, so that an answer to another
// request is noticed.
type CallerRequest struct {
	Method  string
	Path    string            // Without query.
	Query   string            // Directives for the upstream, for example "delay_ms=50".
	Caller  string            // Empty: the node takes the IP address.
	Key     string            // Idempotency key, or empty.
	Rank    string            // Empty: the route's rank.
	Timeout time.Duration     // Zero: the route's timeout.
	Content string            // Empty: unique per request. Equal content makes requests equal for the upstream.
	Header  map[string]string // Further header fields.
	Padding int               // Bytes of the body after the content, for a request with a body.
}

// A CallerRecord is what a caller saw of one request.
type CallerRecord struct {
	Request CallerRequest
	Content string    // What made the request unique.
	CallID  string    // As given by the ingress; empty without an answer.
	Start   time.Time // When the request was sent.
	End     time.Time // When the answer was read, or the failure was noticed.
	Status  int       // Zero without an answer.
	Outcome string    // ran, not_run, unknown, or empty without an answer.
	Refusal string    // Reason, or empty.
	Wait    string    // The Retry-After field, or empty.
	Answer  UpstreamAnswer
	Fault   string // Why the answer is not the whole answer to this request; empty if it is.
	Err     error  // Why no whole answer arrived.
}

// Latency returns the time from request to answer.
func (r CallerRecord) Latency() time.Duration { return r.End.Sub(r.Start) }

// Answered reports whether the whole answer of an upstream arrived.
func (r CallerRecord) Answered() bool { return r.Err == nil && r.Outcome == "ran" && r.Refusal == "" }

// NotConnected reports whether no connection could be opened, so that the request surely did not reach the mesh.
func (r CallerRecord) NotConnected() bool {
	var failure *net.OpError
	return errors.As(r.Err, &failure) && failure.Op == "dial"
}

// Idempotent reports whether the method may run more than once.
func (r CallerRecord) Idempotent() bool {
	return r.Request.Method == http.MethodGet || r.Request.Method == http.MethodHead
}

// A Caller is a stand-in caller that keeps a record of each request. It is safe for concurrent use.
type Caller struct {
	client *http.Client
	prefix string
	serial atomic.Int64

	mu      sync.Mutex
	records []CallerRecord // Guarded by mu.
}

// NewCaller returns a caller. The prefix makes the content of its requests unique among callers.
func NewCaller(prefix string) *Caller {
	const connections = 1024
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}
	return &Caller{client: &http.Client{Transport: transport}, prefix: prefix}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Records returns the records so far.
func (c *Caller) Records() []CallerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CallerRecord(nil), c.records...)
}

// resendTimeout bounds one send of Resend; it is longer than the timeouts of the example routes for keyed requests.
const resendTimeout = 15 * time.Second

// Resend sends a request to the base URLs in turn, with the same content each time, until the answer of an upstream
// arrives or ctx ends. Between two sends it waits for pause. It returns what the last send gave. The end of ctx does not
// interrupt a send, because a request that its caller gives up tells nothing about the system.
func (c *Caller) Resend(ctx context.Context, bases []string, r CallerRequest, pause time.Duration) CallerRecord {
	if r.Content == "" {
		r.Content = c.content()
	}
	for i := 0; ; i++ {
		record := c.sendWhole(ctx, bases[i%len(bases)], r)
		if record.Answered() {
			return record
		}
		select {
		case <-ctx.Done():
			return record
		case <-time.After(pause):
		}
	}
}

func (c *Caller) sendWhole(ctx context.Context, base string, r CallerRequest) CallerRecord {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resendTimeout)
	defer cancel()
	return c.Do(ctx, base, r)
}

func (c *Caller) content() string { return fmt.Sprintf("%s-%d", c.prefix, c.serial.Add(1)) }

// Do sends a request to a base URL once and records what comes back.
func (c *Caller) Do(ctx context.Context, base string, r CallerRequest) CallerRecord {
	record := CallerRecord{Request: r, Content: r.Content, Start: time.Now()}
	if record.Content == "" {
		record.Content = c.content()
	}
	c.send(ctx, base, &record)
	record.End = time.Now()
	c.mu.Lock()
	c.records = append(c.records, record)
	c.mu.Unlock()
	return record
}

func (c *Caller) send(ctx context.Context, base string, record *CallerRecord) {
	request, err := c.request(ctx, base, record)
	if err != nil {
		record.Err = err
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		record.Err = errors.Wrap(err, "send request")
		return
	}
	defer func() { _ = response.Body.Close() }()
	record.Status = response.StatusCode
	record.CallID = response.Header.Get("Baobab-Call-Id")
	record.Outcome = response.Header.Get("Baobab-Outcome")
	record.Refusal = response.Header.Get("Baobab-Refusal")
	record.Wait = response.Header.Get("Retry-After")
	body, err := io.ReadAll(response.Body)
	if err != nil {
		record.Err = errors.Wrap(err, "read answer")
		return
	}
	if record.Refusal == "" && response.StatusCode == http.StatusOK {
		record.check(response.Header.Get("Emulator-Body-Sha256"), body)
	}
}

func (c *Caller) request(ctx context.Context, base string, record *CallerRecord) (*http.Request, error) {
	r := record.Request
	body := record.body()
	request, err := http.NewRequestWithContext(ctx, r.Method, base+record.target(), strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, value := range map[string]string{
		"Baobab-Caller": r.Caller, "Baobab-Rank": r.Rank, "Idempotency-Key": r.Key,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if r.Timeout > 0 {
		request.Header.Set("Baobab-Timeout-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	}
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	// Without GetBody, and with a body other than http.NoBody, the transport cannot send the request again by itself.
	request.GetBody = nil
	request.Body = io.NopCloser(strings.NewReader(body))
	return request, nil
}

func (r *CallerRecord) body() string {
	if r.Idempotent() {
		return ""
	}
	return r.Content + strings.Repeat("x", r.Request.Padding)
}

// target returns the path with a query that names the content.
func (r *CallerRecord) target() string {
	query := "content=" + r.Content
	if r.Request.Query != "" {
		query += "&" + r.Request.Query
	}
	return r.Request.Path + "?" + query
}

// check compares the answer with the request.
func (r *CallerRecord) check(wantDigest string, body []byte) {
	digest := sha256.Sum256(body)
	if got := hex.EncodeToString(digest[:]); got != wantDigest {
		r.Fault = fmt.Sprintf("answer of %d bytes has digest %s, want %s", len(body), got, wantDigest)
		return
	}
	line, _ := bufio.NewReader(bytes.NewReader(body)).ReadBytes('\n')
	if err := json.Unmarshal(line, &r.Answer); err != nil {
		r.Fault = "answer is malformed: " + err.Error()
		return
	}
	if r.Answer.Target != r.target() {
		r.Fault = fmt.Sprintf("answer is for %s, want %s", r.Answer.Target, r.target())
		return
	}
	if sent := sha256.Sum256([]byte(r.body())); r.Answer.BodyDigest != hex.EncodeToString(sent[:]) {
		r.Fault = "the upstream got another body than was sent"
	}
}
