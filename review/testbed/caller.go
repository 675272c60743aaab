package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// A request is one attempt of a caller.
type request struct {
	method, host, path string
	key                string // Of a tenant; empty: none.
	deadline           time.Duration
}

// An answer is what a caller has got for a request.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 if there was no answer.
	err    error
	body   string
}

// A caller sends requests to one node over connections that it keeps.
type caller struct {
	address string
	client  *http.Client
	record  *record
}

var requestNumber atomic.Int64

func newCaller(address string, r *record) *caller {
	return &caller{address: address, record: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send sends a request once.
func (c *caller) send(r request) answer {
	a := answer{id: fmt.Sprintf("%016x", requestNumber.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+time.Second)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.address+r.path, http.NoBody)
	if err != nil {
		a.err = err
		return a
	}
	h.Host = r.host
	h.Header.Set("X-Baobabdale-Request-Id", a.id)
	h.Header.Set("X-Baobabdale-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		h.Header.Set("Authorization", "Bearer "+r.key)
	}
	response, err := c.client.Do(h)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body = response.StatusCode, string(body)
	}
	a.err, a.took = err, time.Since(a.sent)
	if err != nil {
		a.status = 0
	}
	c.record.write("%s at %s: %s %s, sent %.3f s ago, status %d, error %v", a.id, c.address, r.method, r.path,
		a.took.Seconds(), a.status, err)
	return a
}
