package baobabnode

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	quarantine "github.com/baobabdale/baobabdale/baobabquarantine"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// sharedReports is how many crash reports go with one exchange, the latest first: about 6 kB. What is left out follows in
// later exchanges, or has been broadcast already.
const sharedReports = 64

// A quarantineController shares with all nodes which requests crash upstreams. Requests that were in flight at a crash
// are reported like the one that caused it; they are cleared when they run again without a crash.
type quarantineController struct {
	board       *blackboard.Board
	list        *quarantine.List
	broadcaster *broadcaster
	now         func() time.Time
	logger      *log.Logger
	decisions   *decisionLog
}

func newQuarantineController(board *blackboard.Board, b *broadcaster, now func() time.Time, logger *log.Logger, decisions *decisionLog) *quarantineController {
	return &quarantineController{
		board: board, list: quarantine.NewList(), broadcaster: b, now: now, logger: logger, decisions: decisions,
	}
}

// run follows the policy of the local service and forgets old crashes until ctx ends.
func (c *quarantineController) run(ctx context.Context) error {
	for {
		inForce, upstream := c.board.InForceChanged(), c.board.UpstreamChanged()
		if p, ok := localPolicy(c.board); ok {
			c.list.Configure(quarantine.NewRule(p.QuarantineAfter(), p.QuarantineTime()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-inForce:
		case <-upstream:
		case <-time.After(forgetInterval):
			c.list.Expire(c.now())
		}
	}
}

// refused reports whether a request is refused because equal ones crashed upstreams, and for how long.
func (c *quarantineController) refused(now time.Time, r *admissionRequest) (time.Duration, bool) {
	return c.list.Refused(now, fingerprintOf(r))
}

// count returns the number of fingerprints that were in progress at a crash, and of those that are refused.
func (c *quarantineController) count(now time.Time) (suspected, refused int) {
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

// crashed reports that the upstream's connection failed while it ran a request.
func (c *quarantineController) crashed(now time.Time, r *admissionRequest, u *blackboard.Upstream) {
	report, added := c.list.Report(now, fingerprintOf(r), u.ID(), r.call.ID())
	if !added {
		return
	}
	c.logger.Warn("upstream failed while it ran a request", "upstream", u.ID(), "call", r.call.ID(), "fingerprint", report.Fingerprint())
	c.broadcaster.spread(&wire.Broadcast{Update: &wire.Broadcast_Quarantine{Quarantine: &wire.QuarantineUpdate{
		Reports: []*wire.CrashReport{{
			Fingerprint: report.Fingerprint().Bytes(), UpstreamId: report.UpstreamID(), CallId: report.CallID(),
		}},
	}}})
}

// succeeded clears a request that is suspected when it ran without a crash.
func (c *quarantineController) succeeded(now time.Time, r *admissionRequest, started time.Time) {
	if c.list.Empty() {
		return
	}
	f := fingerprintOf(r)
	if !c.list.Suspected(f) || !c.list.Clear(now, f, started) {
		return
	}
	c.broadcaster.spread(&wire.Broadcast{Update: &wire.Broadcast_Quarantine{Quarantine: &wire.QuarantineUpdate{
		Clearances: []*wire.Clearance{{Fingerprint: f.Bytes(), AgeMs: now.Sub(started).Milliseconds()}},
	}}})
}

// digest summarizes the crashes that this node knows.
func (c *quarantineController) digest() uint64 {
	if c.list.Empty() {
		return 0
	}
	return c.list.Digest(c.now())
}

// missing returns the latest crashes that this node knows, or nil when a node with the given digest knows the same. It
// repairs broadcasts that were lost, and tells a node that was started again.
func (c *quarantineController) missing(digest uint64) *wire.QuarantineUpdate {
	if c.digest() == digest {
		return nil
	}
	now := c.now()
	update := &wire.QuarantineUpdate{}
	for _, r := range c.list.Latest(now, sharedReports) {
		update.Reports = append(update.Reports, &wire.CrashReport{
			Fingerprint: r.Fingerprint().Bytes(), UpstreamId: r.UpstreamID(), CallId: r.CallID(), AgeMs: r.Age(now).Milliseconds(),
		})
	}
	return update
}

// receive takes over what other nodes have seen.
func (c *quarantineController) receive(m *wire.QuarantineUpdate) {
	now := c.now()
	var reports []quarantine.Report
	for _, r := range m.GetReports() {
		f, err := quarantine.ParseFingerprint(r.GetFingerprint())
		if err != nil {
			c.logger.Warn("malformed crash report", "err", err)
			continue
		}
		at := now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
		reports = append(reports, quarantine.NewReport(f, r.GetUpstreamId(), r.GetCallId(), at))
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
