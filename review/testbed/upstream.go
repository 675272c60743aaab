package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crashPath is the path of a request that crashes each upstream that begins to run it, and crashTime how long that
	// is down.
	crashPath = "/slots/crash"
	crashTime = 2 * time.Second
)

// A run is one request that an upstream has run.
type run struct {
	at       time.Time // When the upstream began.
	id       string    // Of the request.
	path     string
	tenant   string
	upstream string
	service  string
}

// upstreamSpec describes an upstream.
type upstreamSpec struct {
	id, service, zone string
	slots             int
	work              time.Duration // Of each request.
}

// An upstream is a stand-in of an upstream: it runs requests, queues a few and announces itself to the node on its VM.
type upstream struct {
	upstreamSpec
	address  string
	announce string // Address of the node for heartbeats.
	record   *record
	born     int64

	running chan struct{} // Holds a token for each request that is run.
	stopped chan struct{}

	mu       sync.Mutex
	starts   int           // Guarded by mu; starts after a crash.
	sequence int           // Guarded by mu.
	server   *http.Server  // Guarded by mu; nil while the upstream is down.
	gone     chan struct{} // Guarded by mu; closed when the upstream crashes.
	runs     []run         // Guarded by mu.
}

func newUpstream(spec upstreamSpec, address, announce string, r *record) *upstream {
	return &upstream{
		upstreamSpec: spec, address: address, announce: announce, record: r, born: time.Now().UnixMilli(),
		running: make(chan struct{}, spec.slots), stopped: make(chan struct{}),
	}
}

// start listens and begins to send heartbeats.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.server, u.gone = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}, make(chan struct{})
	server, gone := u.server, u.gone
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go u.sendHeartbeats(gone)
	return nil
}

// crash ends the upstream: all its connections are closed and nothing is answered any more.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil {
		return
	}
	close(u.gone)
	_ = u.server.Close()
	u.server = nil
}

// crashAndReturn crashes the upstream and starts it again after crashTime, as a process with another id that knows nothing
// of before.
func (u *upstream) crashAndReturn() {
	u.crash()
	time.Sleep(crashTime)
	u.mu.Lock()
	u.starts++
	u.id, u.born, u.sequence = fmt.Sprintf("%.6s-%d", u.id, u.starts), time.Now().UnixMilli(), 0
	u.mu.Unlock()
	if err := u.start(); err != nil {
		u.record.write("%s has not come back: %v", u.id, err)
	}
}

func (u *upstream) sendHeartbeats(gone <-chan struct{}) {
	for {
		u.sendHeartbeat()
		select {
		case <-gone:
			return
		case <-u.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat announces the upstream as ready.
func (u *upstream) sendHeartbeat() {
	u.mu.Lock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready",
		"cold_remaining_s": 0, "sequence": u.sequence, "born": u.born,
	})
	id := u.id
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + u.announce + "/baobabdale/instances/" + id
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	id, gone := u.id, u.gone
	u.mu.Unlock()
	load := fmt.Sprintf("%d,0,%d", len(u.running), u.slots)
	w.Header().Set("X-Baobabdale-Server-Load", load)
	if r.URL.Path == healthPath {
		w.Header().Set("X-Baobabdale-Instance-Id", id)
		return
	}
	callID := r.Header.Get("X-Baobabdale-Request-Id")
	w.Header().Set("X-Baobabdale-Request-Id", callID)
	if target := r.Header.Get("X-Baobabdale-Target-Instance"); target != "" && target != id {
		w.Header().Set("X-Baobabdale-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.running <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(time.Second):
		w.Header().Set("X-Baobabdale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.running }()
	u.mu.Lock()
	u.runs = append(u.runs, run{
		at: time.Now(), id: callID, path: r.URL.RequestURI(), tenant: r.Header.Get("X-Baobabdale-Tenant-Id"), upstream: id,
		service: u.service,
	})
	u.mu.Unlock()
	u.record.write("%s runs %s %s %s", id, callID, r.Method, r.URL.RequestURI())
	if r.URL.Path == crashPath {
		go u.crashAndReturn()
		<-gone
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(u.work):
	case <-gone:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Baobabdale-Server-Stamp", id+"."+callID)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", u.service, id, callID)
}

// history returns the requests that were run.
func (u *upstream) history() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}
