package baobabnode

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

const (
	// departurePrefix begins the keys of the rows that hold departures; the failure domain and the node follow.
	departurePrefix = "departure/"
	// departureTimeout bounds one request for the row.
	departureTimeout = time.Second
	// maxRestoreWait bounds how long announcements have no effect while the row cannot be read.
	maxRestoreWait = time.Second
	// departureAckWait bounds how long the response to an upstream that departs waits for the row. Upstreams wait a
	// second for the response.
	departureAckWait = 600 * time.Millisecond
	// departureAckPause is the pause between writes of a departure within that time.
	departureAckPause = 150 * time.Millisecond
	// departureRowLimit is the number of rows that a failure domain keeps. It exceeds the nodes of a failure domain whose
	// upstreams may depart within the seconds by which an announcement can be late.
	departureRowLimit = 256
	// departurePruneOdds is the number of written departures, on average, after which the rows are counted.
	departurePruneOdds = 16
	// maxPrunedRows limits the rows that one transaction deletes. Some platforms take 100 conditions and writes.
	maxPrunedRows = 48
)

// A departureController keeps the last departure of the upstream on this VM in the platform, because it must outlive all
// processes: without it, an announcement from before the departure that arrives late brings the upstream back.
type departureController struct {
	board       *blackboard.Board
	store       platform.Store
	registry    *upstream.Registry
	domain      string        // Failure domain of this node.
	node        string        // Id of this node.
	restoreWait time.Duration // At most maxRestoreWait.
	logger      *log.Logger
	counters    departureCounters

	retry    chan struct{} // Receives a value when a departure could not be written.
	writing  chan struct{} // Held while the row is written; it guards the fields below.
	written  upstream.Departure
	revision uint64 // Of the row, as far as it is known; 0: absent.
}

// departureCounters counts the departures of upstreams on this VM.
type departureCounters struct {
	restored, recorded, failed *metrics.Counter
}

func newDepartureController(board *blackboard.Board, store platform.Store, registry *upstream.Registry, domain, node string, restoreWait time.Duration,
	logger *log.Logger, set *metrics.Set) *departureController {
	counter := func(result string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("baobab_upstream_departures_total{result=%q}", result))
	}
	return &departureController{
		board: board, store: store, registry: registry, domain: domain, node: node, restoreWait: min(restoreWait, maxRestoreWait), logger: logger,
		counters: departureCounters{restored: counter("restored"), recorded: counter("recorded"), failed: counter("failed")},
		retry:    make(chan struct{}, 1), writing: make(chan struct{}, 1),
	}
}

func (c *departureController) domainPrefix() string { return departurePrefix + c.domain + "/" }

func (c *departureController) key() string { return c.domainPrefix() + c.node }

// run restores the departure that an earlier process of this node has recorded, and then writes those that could not be
// written at once, until ctx is done.
func (c *departureController) run(ctx context.Context) error {
	late := time.AfterFunc(c.restoreWait, func() {
		c.logger.Warn("departure not restored yet", "after", c.restoreWait)
		c.registry.Restore(upstream.Departure{})
	})
	defer late.Stop()
	if !c.repeat(ctx, c.restore) {
		return nil
	}
	late.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.retry:
		}
		if !c.repeat(ctx, c.record) {
			return nil
		}
	}
}

// repeat calls f, with growing pauses, until it succeeds. When a version comes into force, the platform may be back, and the
// next call follows at once. It returns false if ctx is done first.
func (c *departureController) repeat(ctx context.Context, f func(context.Context) error) bool {
	for pause := startBackoffMin; ; pause = min(2*pause, startBackoffMax) {
		changed := c.board.ActiveConfigurationChanged()
		attempt, cancel := context.WithTimeout(ctx, departureTimeout)
		err := f(attempt)
		cancel()
		if err == nil {
			return true
		}
		c.logger.Warn("departure not read or written", "err", err)
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-time.After(pause + rand.N(pause)):
		}
	}
}

// restore reads the row and passes its departure to the registry.
func (c *departureController) restore(ctx context.Context) error {
	row, ok, err := c.store.Get(ctx, c.key())
	if err != nil {
		return err
	}
	var d upstream.Departure
	if ok {
		if d, err = upstream.DecodeDeparture(row.Value()); err != nil {
			c.logger.Error("malformed departure ignored", "err", err)
		}
	}
	if err := c.lock(ctx); err != nil {
		return err
	}
	if c.revision == 0 {
		c.written, c.revision = d, row.Revision()
	}
	c.unlock()
	c.registry.Restore(d)
	if !d.IsZero() {
		c.counters.restored.Inc()
		c.logger.Info("departure restored", "upstream", d.UpstreamID(), "gone", d.Gone())
	}
	return nil
}

// record writes the last departure unless the row keeps out the same announcements.
func (c *departureController) record(ctx context.Context) error {
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	d := c.registry.Departure()
	if c.written.Covers(d) {
		return nil
	}
	revision, err := c.write(ctx, d)
	if e, ok := errors.AsType[*platform.Error](err); ok && e.Kind() == platform.KindConflict {
		// The row is that of an earlier process, or of a write of this one whose response was lost.
		row, _ := e.Row(c.key())
		c.revision = row.Revision()
		revision, err = c.write(ctx, d)
	}
	if err != nil {
		c.counters.failed.Inc()
		return err
	}
	c.written, c.revision = d, revision
	c.counters.recorded.Inc()
	c.logger.Info("departure recorded", "upstream", d.UpstreamID(), "gone", d.Gone())
	if rand.N(departurePruneOdds) == 0 {
		c.prune(ctx)
	}
	return nil
}

func (c *departureController) write(ctx context.Context, d upstream.Departure) (revision uint64, err error) {
	tx := platform.NewTransaction().IfRevision(c.key(), c.revision)
	return c.store.Commit(ctx, tx.Put(c.key(), d.Encode()).Build())
}

// prune deletes the oldest rows of the failure domain beyond departureRowLimit. Those of VMs that no longer exist would
// otherwise stay for ever.
func (c *departureController) prune(ctx context.Context) {
	rows, err := c.store.Scan(ctx, c.domainPrefix())
	if err != nil || len(rows) <= departureRowLimit {
		return
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Revision(), b.Revision()) })
	tx := platform.NewTransaction()
	for _, r := range rows[:min(len(rows)-departureRowLimit, maxPrunedRows)] {
		tx = tx.IfRevision(r.Key(), r.Revision()).Delete(r.Key())
	}
	if _, err := c.store.Commit(ctx, tx.Build()); err != nil {
		c.logger.Debug("old departures not deleted", "err", err)
	}
}

func (c *departureController) lock(ctx context.Context) error {
	select {
	case c.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *departureController) unlock() { <-c.writing }

// acknowledge returns a handler for announcements whose responses wait until the departures that they acknowledge are
// recorded, or for departureAckWait: an upstream that gets no response while the platform is away would exit anyway. A departure
// that is lost with this process is kept by the upstreamVerifier of the next one.
func (c *departureController) acknowledge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &heldResponse{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(held, r)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), departureAckWait)
		defer cancel()
		if err := c.recordWithin(ctx); err != nil {
			c.logger.Warn("departure acknowledged before it is recorded", "err", err)
			select {
			case c.retry <- struct{}{}:
			default:
			}
		}
		held.send()
	})
}

// recordWithin records the last departure, with several writes if need be, until ctx is done.
func (c *departureController) recordWithin(ctx context.Context) error {
	for {
		err := c.record(ctx)
		if err == nil || !sleep(ctx, departureAckPause) {
			return err
		}
	}
}

// A heldResponse keeps a response until it may be sent.
type heldResponse struct {
	http.ResponseWriter
	status int
	body   []byte
}

// WriteHeader implements http.ResponseWriter.
func (h *heldResponse) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldResponse) Write(b []byte) (int, error) {
	h.body = append(h.body, b...)
	return len(b), nil
}

func (h *heldResponse) send() {
	h.ResponseWriter.WriteHeader(h.status)
	_, _ = h.ResponseWriter.Write(h.body)
}
