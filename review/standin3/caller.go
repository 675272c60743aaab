package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A request is one attempt of a caller.
type request struct {
	machine  *machine
	method   string
	host     string
	path     string
	key      string // Of a tenant; empty: none.
	body     []byte
	deadline time.Duration
}

// A result is what a caller got.
type result struct {
	id     string
	sent   time.Duration // Since the start of the case.
	status int           // 0 without an answer.
	stamp  string
	err    error
}

// callers sends requests to the outbound addresses of nodes over kept connections.
type callers struct {
	bed    *bed
	client *http.Client
	group  sync.WaitGroup
}

func newCallers(b *bed) *callers {
	const kept = 64
	return &callers{bed: b, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: kept, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
	}}}
}

// send sends a request and returns its result.
func (c *callers) send(q request) result {
	a := result{id: fmt.Sprintf("%016x", rand.Uint64()), sent: c.bed.record.now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	url := "http://" + q.machine.address(portOutbound) + q.path + a.id
	r, err := http.NewRequestWithContext(ctx, q.method, url, bytes.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = q.host
	r.Header.Set(requestIDField, a.id)
	r.Header.Set(deadlineField, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	c.bed.record.write("sent %s to %s %s %s", a.id, q.machine.name, q.method, q.path)
	response, err := c.client.Do(r)
	if err == nil {
		a.status, a.stamp = response.StatusCode, response.Header.Get(stampField)
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	a.err = err
	c.bed.record.write("answered %s status=%d stamp=%q err=%v", a.id, a.status, a.stamp, err)
	return a
}

// stream sends requests at a mean rate, at random times and in turn of the machines that next returns, until stop is
// closed. It calls done, if that is not nil, with each result.
func (c *callers) stream(perSecond float64, stop <-chan struct{}, next func() request, done func(result)) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		for {
			pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				a := c.send(next())
				if done != nil {
					done(a)
				}
			}()
		}
	}()
}

// wait waits for all requests and streams.
func (c *callers) wait() { c.group.Wait() }
