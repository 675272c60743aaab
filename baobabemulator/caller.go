package baobabemulator

import (
	"context"
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

// A Caller is an emulated caller that records each request. It is safe for concurrent use.
type Caller struct {
	client        *http.Client
	contentPrefix string
	serial        atomic.Int64

	mu      sync.Mutex
	records []CallerRecord // Guarded by mu.
}

// NewCaller returns a caller. The prefix distinguishes the content of its requests from that of other callers.
func NewCaller(contentPrefix string) *Caller {
	const maxIdleConnections = 1024
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &Caller{client: &http.Client{Transport: transport}, contentPrefix: contentPrefix}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Records returns a copy of the records so far.
func (c *Caller) Records() []CallerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CallerRecord(nil), c.records...)
}

// attemptTimeout limits one attempt of DoUntilAnswered. It exceeds the timeouts of the example routes for keyed requests.
const attemptTimeout = 15 * time.Second

// DoUntilAnswered sends a request to the base URLs in turn, with the same content each time, until the answer of an
// upstream arrives or ctx ends. It waits for retryDelay between two attempts and returns the record of the last one. The
// end of ctx does not interrupt an attempt, because a request that its caller abandons is no evidence about the system.
func (c *Caller) DoUntilAnswered(
	ctx context.Context, baseURLs []string, r CallerRequest, retryDelay time.Duration,
) CallerRecord {
	if r.Content == "" {
		r.Content = c.nextContent()
	}
	for i := 0; ; i++ {
		record := c.doUninterrupted(ctx, baseURLs[i%len(baseURLs)], r)
		if record.Answered() {
			return record
		}
		select {
		case <-ctx.Done():
			return record
		case <-time.After(retryDelay):
		}
	}
}

func (c *Caller) doUninterrupted(ctx context.Context, baseURL string, r CallerRequest) CallerRecord {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	return c.Do(ctx, baseURL, r)
}

func (c *Caller) nextContent() string { return fmt.Sprintf("%s-%d", c.contentPrefix, c.serial.Add(1)) }

// Do sends a request to a base URL once and records the result.
func (c *Caller) Do(ctx context.Context, baseURL string, r CallerRequest) CallerRecord {
	record := CallerRecord{Request: r, Content: r.Content, Start: time.Now()}
	if record.Content == "" {
		record.Content = c.nextContent()
	}
	c.send(ctx, baseURL, &record)
	record.End = time.Now()
	c.mu.Lock()
	c.records = append(c.records, record)
	c.mu.Unlock()
	return record
}

func (c *Caller) send(ctx context.Context, baseURL string, record *CallerRecord) {
	request, err := c.newRequest(ctx, baseURL, record)
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
	record.RetryAfter = response.Header.Get("Retry-After")
	body, err := io.ReadAll(response.Body)
	if err != nil {
		record.Err = errors.Wrap(err, "read answer")
		return
	}
	if record.Refusal == "" && response.StatusCode == http.StatusOK {
		record.verifyAnswer(response.Header.Get("Emulator-Body-Sha256"), body)
	}
}

func (c *Caller) newRequest(ctx context.Context, baseURL string, record *CallerRecord) (*http.Request, error) {
	r := record.Request
	body := record.requestBody()
	request, err := http.NewRequestWithContext(ctx, r.Method, baseURL+record.requestTarget(), strings.NewReader(body))
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
	if r.AccountKey != "" {
		request.Header.Set("Authorization", "Bearer "+r.AccountKey)
	}
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	// Without GetBody and with a body other than http.NoBody, the transport cannot retry the request on its own.
	request.GetBody = nil
	request.Body = io.NopCloser(strings.NewReader(body))
	return request, nil
}

// Burst sends n requests at the same time and returns their records.
func (c *Caller) Burst(ctx context.Context, n int, baseURL string, r CallerRequest) []CallerRecord {
	records := make([]CallerRecord, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { records[i] = c.Do(ctx, baseURL, r) })
	}
	all.Wait()
	return records
}
