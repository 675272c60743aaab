package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// A backend is a stand-in of an application backend.
type backend struct {
	node     *node
	id       string
	slots    int
	born     int64
	work     time.Duration
	rec      *record
	sequence atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	server   *http.Server
	// onRun is called when the backend begins to run a request. If it returns true, the connection is reset instead of an
	// answer after the work.
	onRun func(r *http.Request) bool
	// crash makes the reset come at once.
	crash bool
}

func newBackend(n *node, id string, slots int, work time.Duration, rec *record) *backend {
	return &backend{node: n, id: id, slots: slots, born: time.Now().UnixMilli(), work: work, rec: rec}
}

// listen starts to serve.
func (b *backend) listen() error {
	l, err := net.Listen("tcp", b.node.app)
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

func (b *backend) loadField() string { return fmt.Sprintf("%d,0,%d", b.running.Load(), b.slots) }

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Baobabdale-Server-Load", b.loadField())
	if r.URL.Path == "/healthz" {
		h.Set("X-Baobabdale-Instance-Id", b.id)
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Baobabdale-Request-Id")
	if want := r.Header.Get("X-Baobabdale-Target-Instance"); want != "" && want != b.id {
		b.rec.write("%s answers 421 to %s, which is for %s", b.id, id, want)
		h.Set("X-Baobabdale-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Baobabdale-Request-Id", id)
	if b.running.Add(1) > int64(b.slots) {
		b.running.Add(-1)
		h.Set("X-Baobabdale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	b.rec.write("%s runs %s %s %s", b.id, id, r.Method, r.RequestURI)
	lost := b.onRun != nil && b.onRun(r)
	if !lost || !b.crash {
		select {
		case <-time.After(b.work):
		case <-r.Context().Done():
			b.rec.write("%s: the connection of %s closed while it ran", b.id, id)
			return
		}
	}
	if lost {
		b.rec.write("%s resets the connection of %s", b.id, id)
		resetConnection(w)
		return
	}
	h.Set("X-Baobabdale-Server-Load", b.loadField())
	h.Set("X-Baobabdale-Server-Stamp", b.id+"."+id)
	_, _ = io.WriteString(w, "body of "+id)
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// heartbeat returns the body of the next heartbeat.
func (b *backend) heartbeat(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": b.node.service, "address": b.node.app, "zone": b.node.zone, "version": "v1", "slots": b.slots,
		"state": state, "cold_remaining_s": 0, "sequence": b.sequence.Add(1) - 1, "born": b.born,
	})
	return data
}

// send sends a heartbeat and reports whether it was acknowledged within a second.
func (b *backend) send(data []byte) bool {
	return b.tell(http.MethodPut, data)
}

// leave deregisters the backend and reports whether that was acknowledged.
func (b *backend) leave() bool { return b.tell(http.MethodDelete, nil) }

func (b *backend) tell(method string, data []byte) bool {
	r, err := http.NewRequest(method, "http://"+b.node.control+"/baobabdale/instances/"+b.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second}
	response, err := c.Do(r)
	if err != nil {
		b.rec.write("%s %s %s: no answer", method, b.id, data)
		return false
	}
	_ = response.Body.Close()
	b.rec.write("%s %s %s: %d", method, b.id, data, response.StatusCode)
	return response.StatusCode/100 == 2
}

// announce sends heartbeats with a state until the returned function is called.
func (b *backend) announce(state string, interval time.Duration) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			b.send(b.heartbeat(state))
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// A client sends requests to the nodes.
type client struct {
	rec    *record
	http   *http.Client
	number atomic.Int64
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// An outcome is what a client saw of a request.
type outcome struct {
	id     string
	at     time.Duration // When it was sent.
	status int           // 0: no complete answer.
	whole  bool          // A backend's whole answer.
}

// do sends a request to the outbound address of a node.
func (c *client) do(n *node, method, host, target string, deadline time.Duration, body string) outcome {
	o := outcome{id: fmt.Sprintf("r%d", c.number.Add(1)), at: c.rec.now()}
	r, err := http.NewRequest(method, "http://"+n.outbound+target, bytes.NewReader([]byte(body)))
	if err != nil {
		return o
	}
	r.Host = host
	r.Header.Set("X-Baobabdale-Request-Id", o.id)
	r.Header.Set("X-Baobabdale-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.rec.write("%s sent to %s: %s %s%s", o.id, n.name, method, host, target)
	hc := *c.http
	hc.Timeout = deadline
	response, err := hc.Do(r)
	if err != nil {
		c.rec.write("%s ends without an answer: %v", o.id, err)
		return o
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.rec.write("%s ends without a complete answer: %v", o.id, err)
		return o
	}
	o.status = response.StatusCode
	stamp := response.Header.Get("X-Baobabdale-Server-Stamp")
	o.whole = o.status == http.StatusOK && stamp != "" && string(data) == "body of "+o.id
	if o.whole {
		c.rec.write("%s answered 200, stamp %s", o.id, stamp)
	} else {
		c.rec.write("%s answered %d %s", o.id, o.status, bytes.TrimSpace(data))
	}
	return o
}
