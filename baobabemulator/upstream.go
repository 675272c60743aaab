package baobabemulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

// upstreamIdleTime is how long an upstream that stops must have been idle before it shuts down.
const upstreamIdleTime = 200 * time.Millisecond

// An Upstream is an emulated upstream: an HTTP server with a number of slots, service times and faults on request.
type Upstream struct {
	id             string
	service        string
	address        string // Address to listen on; after Start the actual address.
	announceURL    string // Base URL of the node's announcement API; empty: no announcements.
	labels         map[string]string
	maxConnections int    // Connections above the limit are closed at once.
	historyPath    string // Empty: the history is kept in memory only.
	exitProcess    func(code int)
	seed           uint64

	startedAt          time.Time
	slots              *upstreamSlots
	history            *UpstreamHistory
	announcer          *upstreamAnnouncer
	server             *http.Server
	tomb               tomb.Tomb
	openConnections    atomic.Int64 // Includes connections that are about to be refused.
	peakConnections    atomic.Int64 // Highest number of accepted connections at one time.
	refusedConnections atomic.Int64 // Connections closed because of maxConnections.
	draining           atomic.Bool

	mu        sync.Mutex
	behaviour UpstreamBehaviour
	random    *rand.Rand
}

// UpstreamOption sets an optional property of an Upstream.
type UpstreamOption func(*Upstream)

// WithUpstreamAddress sets the IP address and port to listen on.
func WithUpstreamAddress(a string) UpstreamOption { return func(u *Upstream) { u.address = a } }

// WithUpstreamNode sets the base URL of the node's announcement API. Without it the upstream is not announced.
func WithUpstreamNode(url string) UpstreamOption { return func(u *Upstream) { u.announceURL = url } }

// WithUpstreamLabels sets the announced labels.
func WithUpstreamLabels(l map[string]string) UpstreamOption {
	return func(u *Upstream) { u.labels = l }
}

// WithUpstreamConnections sets the connection limit, which is also announced.
func WithUpstreamConnections(n int) UpstreamOption { return func(u *Upstream) { u.maxConnections = n } }

// WithUpstreamBehaviour sets the initial behaviour.
func WithUpstreamBehaviour(b UpstreamBehaviour) UpstreamOption {
	return func(u *Upstream) { u.behaviour = b }
}

// WithUpstreamHistoryFile appends the history to a file as JSON lines.
func WithUpstreamHistoryFile(path string) UpstreamOption {
	return func(u *Upstream) { u.historyPath = path }
}

// WithUpstreamExit sets the function that a crash directive calls, os.Exit for an upstream process. By default the
// upstream closes its listener and all connections.
func WithUpstreamExit(exit func(code int)) UpstreamOption {
	return func(u *Upstream) { u.exitProcess = exit }
}

// WithUpstreamSeed sets the seed of the service times.
func WithUpstreamSeed(seed uint64) UpstreamOption { return func(u *Upstream) { u.seed = seed } }

// NewUpstream returns an upstream that is not started.
func NewUpstream(id, service string, options ...UpstreamOption) *Upstream {
	u := &Upstream{
		id: id, service: service, address: "127.0.0.1:0", maxConnections: 130, seed: 1,
		behaviour: DefaultUpstreamBehaviour(),
	}
	for _, o := range options {
		o(u)
	}
	u.random = rand.New(rand.NewPCG(u.seed, 0))
	u.slots = &upstreamSlots{behaviour: u.Behaviour}
	u.server = &http.Server{Handler: u.handler(), ConnState: u.trackConnection, ReadHeaderTimeout: 10 * time.Second}
	return u
}

// Start listens, starts to serve calls and announces the upstream to its node.
func (u *Upstream) Start() error {
	history, err := newUpstreamHistory(u.historyPath)
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", u.id, err)
	}
	u.history = history
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		history.close()
		return fmt.Errorf("start upstream %s: %w", u.id, err)
	}
	u.address = l.Addr().String()
	u.startedAt = time.Now()
	u.tomb.Go(func() error {
		if err := u.server.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	if u.announceURL != "" {
		u.announcer = newUpstreamAnnouncer(u.announceURL, u.announcement)
	}
	return nil
}

// ID returns the id of the upstream.
func (u *Upstream) ID() string { return u.id }

// Address returns the IP address and port that the upstream listens on.
func (u *Upstream) Address() string { return u.address }

// History returns the history of runs.
func (u *Upstream) History() *UpstreamHistory { return u.history }

// PeakConnections returns the highest number of accepted connections at one time.
func (u *Upstream) PeakConnections() int64 { return u.peakConnections.Load() }

// RefusedConnections returns how many connections were closed because of the connection limit.
func (u *Upstream) RefusedConnections() int64 { return u.refusedConnections.Load() }

// Behaviour returns the current behaviour.
func (u *Upstream) Behaviour() UpstreamBehaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// SetBehaviour replaces the behaviour for later calls.
func (u *Upstream) SetBehaviour(b UpstreamBehaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

// Drain announces that the upstream accepts no new calls. Calls that still arrive are served.
func (u *Upstream) Drain() {
	u.draining.Store(true)
	if u.announcer != nil {
		u.announcer.announceNow()
	}
}

// Stop drains the upstream, waits until it is idle or ctx ends, closes it and removes its announcement from the node.
func (u *Upstream) Stop(ctx context.Context) error {
	u.draining.Store(true)
	if u.announcer != nil {
		u.announcer.announce()
		u.waitUntilIdle(ctx)
	}
	err := u.server.Shutdown(ctx)
	if u.announcer != nil {
		u.announcer.stop()
		u.announcer.deregister(u.id)
	}
	u.Close()
	return err
}

// waitUntilIdle waits until no call has been in progress for upstreamIdleTime or ctx ends. So a call that the node sent
// just before it received the drain announcement is served.
func (u *Upstream) waitUntilIdle(ctx context.Context) {
	ticker := time.NewTicker(upstreamIdleTime / 10)
	defer ticker.Stop()
	lastBusyAt := time.Now()
	for time.Since(lastBusyAt) < upstreamIdleTime {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !u.slots.idle() {
			lastBusyAt = time.Now()
		}
	}
}

// Close stops the upstream at once, like a crash: it breaks connections and announces nothing.
func (u *Upstream) Close() {
	if u.announcer != nil {
		u.announcer.stop()
	}
	_ = u.server.Close()
	_ = u.tomb.Wait()
	u.history.close()
}

func (u *Upstream) crash() {
	if u.exitProcess != nil {
		u.exitProcess(1)
		return
	}
	if u.announcer != nil {
		u.announcer.tomb.Kill(nil)
	}
	_ = u.server.Close()
}

// trackConnection counts connections and closes those above the limit.
func (u *Upstream) trackConnection(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := u.openConnections.Add(1)
		if n > int64(u.maxConnections) {
			u.refusedConnections.Add(1)
			_ = conn.Close()
			return
		}
		for peak := u.peakConnections.Load(); n > peak && !u.peakConnections.CompareAndSwap(peak, n); peak = u.peakConnections.Load() {
		}
	case http.StateClosed, http.StateHijacked:
		u.openConnections.Add(-1)
	}
}

// announcement returns the body of the next announcement, and false if heartbeats are stopped.
func (u *Upstream) announcement() (map[string]any, bool) {
	b := u.Behaviour()
	slots := b.Slots
	if b.AnnouncedSlots != 0 {
		slots = b.AnnouncedSlots
	}
	labels := u.labels
	if labels == nil {
		labels = map[string]string{}
	}
	return map[string]any{
		"upstream_id":    u.id,
		"service":        u.service,
		"address":        u.address,
		"slots":          slots,
		"connections":    u.maxConnections,
		"labels":         labels,
		"state":          u.announcedState(b),
		"started_ms_ago": time.Since(u.startedAt).Milliseconds(),
	}, !b.StopHeartbeats
}

// announcedState returns the state to announce, which b can override.
func (u *Upstream) announcedState(b UpstreamBehaviour) string {
	switch {
	case b.AnnouncedState != "":
		return b.AnnouncedState
	case u.draining.Load():
		return "draining"
	case time.Since(u.startedAt) < time.Duration(b.WarmUpMs)*time.Millisecond:
		return "warming"
	default:
		return "ready"
	}
}

func (u *Upstream) drawServiceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour.drawServiceTime(u.random, time.Since(u.startedAt))
}

// drawFailure reports whether a call fails at once, with the probability FailPercent.
func (u *Upstream) drawFailure() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()*100 < u.behaviour.FailPercent
}
