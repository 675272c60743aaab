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

const upstreamQuietTime = 200 * time.Millisecond

// Upstream is a stand-in for an upstream: an HTTP server with slots, a service time and faults on request.
type Upstream struct {
	id          string
	service     string
	address     string // Address to listen on; after Start the address in use.
	node        string // Base URL of the node's announcement API; empty: no announcements.
	labels      map[string]string
	connections int    // Further connections are closed at once.
	historyPath string // Empty: the history is only in memory.
	exit        func(code int)
	seed        uint64

	startedAt time.Time
	slots     *upstreamSlots
	history   *UpstreamHistory
	announcer *upstreamAnnouncer
	server    *http.Server
	tomb      tomb.Tomb
	open      atomic.Int64 // Connections.
	peak      atomic.Int64 // Highest number of connections taken.
	refused   atomic.Int64 // Connections closed because of the bound.
	draining  atomic.Bool

	mu        sync.Mutex
	behaviour UpstreamBehaviour
	random    *rand.Rand
}

// UpstreamOption sets an optional property of an Upstream.
type UpstreamOption func(*Upstream)

// WithUpstreamAddress sets the IP address and port to listen on.
func WithUpstreamAddress(a string) UpstreamOption { return func(u *Upstream) { u.address = a } }

// WithUpstreamNode sets the base URL of the node's announcement API.
func WithUpstreamNode(url string) UpstreamOption { return func(u *Upstream) { u.node = url } }

// WithUpstreamLabels sets the announced labels.
func WithUpstreamLabels(l map[string]string) UpstreamOption {
	return func(u *Upstream) { u.labels = l }
}

// WithUpstreamConnections sets how many connections are taken and announced.
func WithUpstreamConnections(n int) UpstreamOption { return func(u *Upstream) { u.connections = n } }

// WithUpstreamBehaviour sets the behaviour at the start.
func WithUpstreamBehaviour(b UpstreamBehaviour) UpstreamOption {
	return func(u *Upstream) { u.behaviour = b }
}

// WithUpstreamHistoryFile appends the history to a file as JSON lines.
func WithUpstreamHistoryFile(path string) UpstreamOption {
	return func(u *Upstream) { u.historyPath = path }
}

// WithUpstreamExit sets what a request for a crash calls; in a process that is os.Exit. By default the upstream
// closes its listener and all connections.
func WithUpstreamExit(exit func(code int)) UpstreamOption { return func(u *Upstream) { u.exit = exit } }

// WithUpstreamSeed sets the seed of the service times.
func WithUpstreamSeed(seed uint64) UpstreamOption { return func(u *Upstream) { u.seed = seed } }

// NewUpstream returns an upstream that is not started.
func NewUpstream(id, service string, options ...UpstreamOption) *Upstream {
	u := &Upstream{
		id: id, service: service, address: "127.0.0.1:0", connections: 130, seed: 1,
		behaviour: DefaultUpstreamBehaviour(),
	}
	for _, o := range options {
		o(u)
	}
	u.random = rand.New(rand.NewPCG(u.seed, 0))
	u.slots = &upstreamSlots{behaviour: u.Behaviour}
	u.server = &http.Server{Handler: u.handler(), ConnState: u.count, ReadHeaderTimeout: 10 * time.Second}
	return u
}

// Start listens, serves and announces the upstream.
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
	if u.node != "" {
		u.announcer = newUpstreamAnnouncer(u.node, u.describe)
	}
	return nil
}

// ID returns the id of the upstream.
func (u *Upstream) ID() string { return u.id }

// Address returns the IP address and port in use.
func (u *Upstream) Address() string { return u.address }

// History returns the runs so far.
func (u *Upstream) History() *UpstreamHistory { return u.history }

// PeakConnections returns the highest number of connections taken at once.
func (u *Upstream) PeakConnections() int64 { return u.peak.Load() }

// RefusedConnections returns how many connections were closed because of the bound.
func (u *Upstream) RefusedConnections() int64 { return u.refused.Load() }

// Behaviour returns the behaviour in effect.
func (u *Upstream) Behaviour() UpstreamBehaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// SetBehaviour changes the behaviour of later calls.
func (u *Upstream) SetBehaviour(b UpstreamBehaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

// Drain announces that the upstream takes no new calls. Calls that still arrive are served.
func (u *Upstream) Drain() {
	u.draining.Store(true)
	if u.announcer != nil {
		u.announcer.trigger()
	}
}

// Stop drains, waits until calls have stopped arriving and those in progress are done or ctx ends, and leaves the
// node.
func (u *Upstream) Stop(ctx context.Context) error {
	u.draining.Store(true)
	if u.announcer != nil {
		u.announcer.announce()
		u.awaitQuiet(ctx)
	}
	err := u.server.Shutdown(ctx)
	if u.announcer != nil {
		u.announcer.stop()
		u.announcer.leave(u.id)
	}
	u.Close()
	return err
}

// awaitQuiet waits until no call has been in progress for upstreamQuietTime, so that a call which the node sent
// just before it heard of the drain is served.
func (u *Upstream) awaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(upstreamQuietTime / 10)
	defer ticker.Stop()
	busy := time.Now()
	for time.Since(busy) < upstreamQuietTime {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !u.slots.idle() {
			busy = time.Now()
		}
	}
}

// Close ends the upstream at once, as a crash does: connections break, and nothing is announced.
func (u *Upstream) Close() {
	if u.announcer != nil {
		u.announcer.stop()
	}
	_ = u.server.Close()
	_ = u.tomb.Wait()
	u.history.close()
}

func (u *Upstream) crash() {
	if u.exit != nil {
		u.exit(1)
		return
	}
	if u.announcer != nil {
		u.announcer.tomb.Kill(nil)
	}
	_ = u.server.Close()
}

// count keeps to the bound of connections.
func (u *Upstream) count(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := u.open.Add(1)
		if n > int64(u.connections) {
			u.refused.Add(1)
			_ = conn.Close()
			return
		}
		for peak := u.peak.Load(); n > peak && !u.peak.CompareAndSwap(peak, n); peak = u.peak.Load() {
		}
	case http.StateClosed, http.StateHijacked:
		u.open.Add(-1)
	}
}

// describe returns the announcement to send; false when heartbeats are stopped.
func (u *Upstream) describe() (map[string]any, bool) {
	b := u.Behaviour()
	slots := b.Slots
	if b.AnnounceSlots != 0 {
		slots = b.AnnounceSlots
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
		"connections":    u.connections,
		"labels":         labels,
		"state":          u.state(b),
		"started_ms_ago": time.Since(u.startedAt).Milliseconds(),
	}, !b.AnnounceStops
}

func (u *Upstream) state(b UpstreamBehaviour) string {
	switch {
	case b.AnnounceState != "":
		return b.AnnounceState
	case u.draining.Load():
		return "draining"
	case time.Since(u.startedAt) < time.Duration(b.WarmMs)*time.Millisecond:
		return "warming"
	default:
		return "ready"
	}
}

func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour.serviceTime(u.random, time.Since(u.startedAt))
}

func (u *Upstream) failsFast() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()*100 < u.behaviour.FailPercent
}
