package baobabnode

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	quarantine "github.com/baobabdale/baobabdale/baobabquarantine"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// reportsPerExchange is how many crash reports are sent in one exchange, latest first. They take about 6 kB. The
// remaining reports follow in later exchanges or have already been broadcast.
const reportsPerExchange = 64

// A quarantineController shares with all nodes which requests crash upstreams. All requests in flight at a crash are
// reported, because the one that caused it is not known. Those that did not cause it are cleared when they run again
// without a crash.
type quarantineController struct {
	board       *blackboard.Board
	list        *quarantine.List
	broadcaster *broadcaster
	now         func() time.Time
	logger      *log.Logger
	decisions   *decisionLog
	counters    failedCallCounters
}

func newQuarantineController(board *blackboard.Board, b *broadcaster, now func() time.Time, logger *log.Logger,
	decisions *decisionLog, set *metrics.Set) *quarantineController {
	return &quarantineController{
		board: board, list: quarantine.NewList(), broadcaster: b, now: now, logger: logger, decisions: decisions,
		counters: failedCallCounters{
			crashed: set.NewCounter(`baobab_upstream_failed_calls_total{process="ended"}`),
			broken:  set.NewCounter(`baobab_upstream_failed_calls_total{process="goes_on"}`),
			causes:  newFailureCauseCounters(set),
		},
	}
}

// failedCallCounters counts the calls whose connection to the upstream failed, by what became of its process.
type failedCallCounters struct {
	crashed, broken *metrics.Counter
	causes          map[upstream.FailureCause]*metrics.Counter // Of those whose process goes on.
}

func newFailureCauseCounters(set *metrics.Set) map[upstream.FailureCause]*metrics.Counter {
	counters := map[upstream.FailureCause]*metrics.Counter{}
	for _, cause := range upstream.FailureCauses() {
		counters[cause] = set.NewCounter(fmt.Sprintf("baobab_upstream_broken_answers_total{cause=%q}", cause))
	}
	return counters
}

// run applies the policy of the local service and removes expired crash reports until ctx is done.
func (c *quarantineController) run(ctx context.Context) error {
	for {
		configurationChanged, upstreamChanged := c.board.ActiveConfigurationChanged(), c.board.UpstreamChanged()
		if p, ok := localPolicy(c.board); ok {
			c.list.Configure(quarantine.NewRule(p.QuarantineAfter(), p.QuarantineTime()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configurationChanged:
		case <-upstreamChanged:
		case <-time.After(sweepInterval):
			c.list.Expire(c.now())
		}
	}
}

// refusedFor reports whether a request is refused because identical requests crashed upstreams, and for how much
// longer.
func (c *quarantineController) refusedFor(now time.Time, r *admissionRequest) (time.Duration, bool) {
	return c.list.Refused(now, fingerprintOf(r))
}

// countFingerprints returns the number of fingerprints that were in flight at a crash, and how many of those are
// refused.
func (c *quarantineController) countFingerprints(now time.Time) (suspected, refused int) {
	seen := map[quarantine.Fingerprint]bool{}
	for _, r := range c.list.Reports(now) {
		f := r.Fingerprint()
		if seen[f] {
			continue
		}
		seen[f] = true
		if _, ok := c.list.Refused(now, f); ok {
			refused++
		}
	}
	return len(seen), refused
}

// recordBrokenCall records that the connection to the upstream failed while it ran a request, and that its process goes on.
func (c *quarantineController) recordBrokenCall(failedAt time.Time, r *admissionRequest, u *blackboard.Upstream, err error) {
	cause := upstream.FailureCauseOf(err)
	c.counters.broken.Inc()
	c.counters.causes[cause].Inc()
	c.decisions.write(failedAt, "call broken by an upstream that goes on", "upstream", u.ID(), "call", r.call.ID(),
		"cause", cause, "err", err)
}

// reportCrash records and broadcasts that the upstream crashed while it ran a request.
func (c *quarantineController) reportCrash(failedAt time.Time, r *admissionRequest, u *blackboard.Upstream) {
	report, added := c.list.Report(failedAt, requestOf(r), fingerprintOf(r), u.ID(), r.call.ID())
	c.counters.crashed.Inc()
	if !added {
		return
	}
	c.logger.Warn("upstream crashed while it ran a request", "upstream", u.ID(), "call", r.call.ID(),
		"fingerprint", report.Fingerprint(), "succeeded_before", report.Succeeded())
	c.broadcaster.broadcast(&wire.Broadcast{Update: &wire.Broadcast_Quarantine{Quarantine: &wire.QuarantineUpdate{
		Reports: []*wire.CrashReport{{
			Fingerprint: report.Fingerprint().Bytes(), UpstreamId: report.UpstreamID(), CallId: report.CallID(), Crash: report.Crash(), Succeeded: report.Succeeded(),
		}},
	}}})
}

// reportSuccess records a request that ran without a crash. It clears a suspected one and broadcasts the clearance.
func (c *quarantineController) reportSuccess(now time.Time, r *admissionRequest, started time.Time) {
	c.list.RecordSuccess(now, requestOf(r))
	if c.list.Empty() {
		return
	}
	f := fingerprintOf(r)
	if !c.list.Suspected(f) || !c.list.Clear(now, f, started) {
		return
	}
	c.broadcaster.broadcast(&wire.Broadcast{Update: &wire.Broadcast_Quarantine{Quarantine: &wire.QuarantineUpdate{
		Clearances: []*wire.Clearance{{Fingerprint: f.Bytes(), AgeMs: now.Sub(started).Milliseconds()}},
	}}})
}

// digest returns a digest of the crash reports that this node knows, or 0 if it knows none.
func (c *quarantineController) digest() uint64 {
	if c.list.Empty() {
		return 0
	}
	return c.list.Digest(c.now())
}

// updateFor returns the latest crash reports that this node knows, or nil if the digest of the other node is equal. It
// repairs lost broadcasts and updates nodes that were restarted.
func (c *quarantineController) updateFor(digest uint64) *wire.QuarantineUpdate {
	if c.digest() == digest {
		return nil
	}
	now := c.now()
	update := &wire.QuarantineUpdate{}
	for _, r := range c.list.Latest(now, reportsPerExchange) {
		update.Reports = append(update.Reports, &wire.CrashReport{
			Fingerprint: r.Fingerprint().Bytes(), UpstreamId: r.UpstreamID(), CallId: r.CallID(), AgeMs: r.Age(now).Milliseconds(), Crash: r.Crash(),
			Succeeded: r.Succeeded(),
		})
	}
	return update
}

// receiveUpdate merges crash reports and clearances from other nodes.
func (c *quarantineController) receiveUpdate(m *wire.QuarantineUpdate) {
	now := c.now()
	var reports []quarantine.Report
	for _, r := range m.GetReports() {
		f, err := quarantine.ParseFingerprint(r.GetFingerprint())
		if err != nil {
			c.logger.Warn("malformed crash report", "err", err)
			continue
		}
		at := now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
		reports = append(reports, quarantine.NewReport(f, r.GetUpstreamId(), r.GetCallId(), at).WithCrash(r.GetCrash()).
			WithSucceeded(r.GetSucceeded()))
	}
	for _, r := range c.list.Merge(now, reports) {
		c.decisions.write(now, "crash report received", "upstream", r.UpstreamID(), "call", r.CallID(),
			"fingerprint", r.Fingerprint(), "age", r.Age(now))
	}
	for _, v := range m.GetClearances() {
		f, err := quarantine.ParseFingerprint(v.GetFingerprint())
		if err != nil {
			c.logger.Warn("malformed clearance", "err", err)
			continue
		}
		c.list.Clear(now, f, now.Add(-time.Duration(v.GetAgeMs())*time.Millisecond))
	}
}

func fingerprintOf(r *admissionRequest) quarantine.Fingerprint {
	body := sha256.Sum256(r.call.Body())
	return quarantine.NewFingerprint(r.service, r.call.Method(), r.call.Target(), body[:])
}

func requestOf(r *admissionRequest) quarantine.Request {
	return quarantine.NewRequest(r.service, r.call.Method(), r.call.Target(), r.call.Body())
}
