package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	requestIDField = "X-Baobabdale-Request-Id"
	deadlineField  = "X-Baobabdale-Deadline-Ms"
	targetField    = "X-Baobabdale-Target-Instance"
	instanceField  = "X-Baobabdale-Instance-Id"
	stampField     = "X-Baobabdale-Server-Stamp"
	loadField      = "X-Baobabdale-Server-Load"
	refusedField   = "X-Baobabdale-Not-Executed"
	tenantField    = "X-Baobabdale-Tenant-Id"
	healthPath     = "/healthz"

	queuePerSlot     = 4
	heartbeatTimeout = time.Second
)

// A beat is the body of a heartbeat.
type beat struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	Cold     float64 `json:"cold_remaining_s"`
	Sequence uint64  `json:"sequence"`
	Born     int64   `json:"born"`
}

// A runEvent is a request that an upstream began to run.
type runEvent struct {
	at       time.Duration // Since the start of the case.
	upstream string
	id       string
	tenant   string
	path     string
}

// An upstream is a stand-in of the application's backend on a machine.
type upstream struct {
	machine *machine
	id      string
	slots   int
	born    int64
	server  *http.Server
	work    time.Duration

	running, waiting atomic.Int64
	free             chan struct{}
	stopped          chan struct{}
	stopOnce         sync.Once

	mu       sync.Mutex
	state    string     // Guarded by mu.
	sequence uint64     // Guarded by mu.
	gone     bool       // Guarded by mu; no further heartbeats.
	runs     []runEvent // Guarded by mu.
}

func newUpstream(m *machine, id string, slots int) *upstream {
	return &upstream{
		machine: m, id: id, slots: slots, state: "ready", work: 20 * time.Millisecond,
		free: make(chan struct{}, slots), stopped: make(chan struct{}),
	}
}

func (u *upstream) start() error {
	l, err := u.machine.listen(portApp)
	if err != nil {
		return err
	}
	u.born = time.Now().UnixMilli()
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(l) }()
	go u.announce()
	return nil
}

// stop ends the upstream's process.
func (u *upstream) stop() {
	u.stopOnce.Do(func() { close(u.stopped) })
	if u.server != nil {
		_ = u.server.Close()
	}
}

// announce sends heartbeats until the upstream has stopped or left.
func (u *upstream) announce() {
	for {
		u.mu.Lock()
		gone := u.gone
		u.mu.Unlock()
		if !gone {
			u.heartbeat()
		}
		select {
		case <-u.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) heartbeat() bool {
	u.mu.Lock()
	u.sequence++
	b := u.beat()
	u.mu.Unlock()
	return u.send(b)
}

// beat returns the next heartbeat. mu must be held.
func (u *upstream) beat() beat {
	return beat{
		Service: u.machine.service, Address: u.machine.address(portApp), Zone: u.machine.zone, Version: "v1", Slots: u.slots,
		State: u.state, Sequence: u.sequence, Born: u.born,
	}
}

// send sends a heartbeat, which is a beat or any other value, and reports whether it was acknowledged.
func (u *upstream) send(body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	status := u.call(http.MethodPut, data)
	u.machine.bed.record.write("heartbeat %s %s -> %d", u.id, data, status)
	return status/100 == 2
}

// leave reports that the upstream leaves for good, and whether that was acknowledged.
func (u *upstream) leave() bool {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	status := u.call(http.MethodDelete, nil)
	u.machine.bed.record.write("leave %s -> %d", u.id, status)
	return status/100 == 2
}

// call calls the control address of the machine and returns the status, or 0 without an answer.
func (u *upstream) call(method string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	url := "http://" + u.machine.address(portControl) + "/baobabdale/instances/" + u.id
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// setState changes the state in later heartbeats.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// events returns what the upstream has run.
func (u *upstream) events() []runEvent {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]runEvent(nil), u.runs...)
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", u.running.Load(), u.waiting.Load(), u.slots)
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(loadField, u.load())
	if r.URL.Path == healthPath {
		u.serveHealth(w)
		return
	}
	id := r.Header.Get(requestIDField)
	h.Set(requestIDField, id)
	body, err := io.ReadAll(r.Body)
	switch target := r.Header.Get(targetField); {
	case err != nil:
		return
	case target != "" && target != u.id:
		h.Set(instanceField, u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set(refusedField, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !u.acquire(r) {
		h.Set(refusedField, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.release()
	u.run(w, r, id, body)
}

func (u *upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	healthy := u.state == "ready" && !u.gone
	u.mu.Unlock()
	w.Header().Set(instanceField, u.id)
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// acquire waits for a slot. It returns false if the queue is full or the request's time is over.
func (u *upstream) acquire(r *http.Request) bool {
	if u.waiting.Add(1) > int64(u.slots*queuePerSlot) {
		u.waiting.Add(-1)
		return false
	}
	defer u.waiting.Add(-1)
	ms, err := strconv.Atoi(r.Header.Get(deadlineField))
	if err != nil {
		ms = int(time.Minute / time.Millisecond)
	}
	select {
	case u.free <- struct{}{}:
		u.running.Add(1)
		return true
	case <-r.Context().Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
	return false
}

func (u *upstream) release() {
	u.running.Add(-1)
	<-u.free
}

// run runs a request: it records it, works for a time and answers.
func (u *upstream) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	e := runEvent{at: u.machine.bed.record.now(), upstream: u.id, id: id, tenant: r.Header.Get(tenantField), path: r.URL.Path}
	u.mu.Lock()
	u.runs = append(u.runs, e)
	u.mu.Unlock()
	u.machine.bed.record.write("run %s at %s tenant=%s %s %s body=%d", id, u.id, e.tenant, r.Method, r.URL.Path, len(body))
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(stampField, "stamp-"+id)
	_, _ = io.WriteString(w, "body of "+id)
}
