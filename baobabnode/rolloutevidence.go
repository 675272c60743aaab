package baobabnode

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	rollout "github.com/baobabdale/baobabdale/baobabrollout"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// baselineReporters is the number of nodes beside the baseline that report evidence. Their answers suffice for the
	// comparison, and the decider may run on a small VM.
	baselineReporters = 16
	// maxEvidenceKinds is the number of kinds of requests that are told apart; the others count as one.
	maxEvidenceKinds = 16
	otherKinds       = "other"
	// coldTime is how long the latencies of an upstream that has started do not count.
	coldTime = time.Second
)

// A rolloutEvidence holds the answers of the upstream on this VM while roll-outs run, by service.
type rolloutEvidence struct {
	start   uint64       // Identifies this process.
	running atomic.Int32 // Number of roll-outs that run.

	mu       sync.Mutex
	services map[string]*serviceEvidence // Guarded by mu.
}

// A serviceEvidence holds running totals since the order of a roll-out.
type serviceEvidence struct {
	order  uint64
	counts map[evidenceKey]*rollout.Counts
	kinds  map[string]bool
	sent   uint64 // Number of answers in the last report.
	total  uint64
}

// An evidenceKey identifies counts.
type evidenceKey struct{ version, kind string }

func newRolloutEvidence(now time.Time) *rolloutEvidence {
	return &rolloutEvidence{start: uint64(now.UnixNano()), services: map[string]*serviceEvidence{}}
}

// collect counts answers for the given orders by service, and for no others.
func (e *rolloutEvidence) collect(orders map[string]uint64) {
	if len(orders) == 0 && e.running.Load() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, v := range e.services {
		if orders[service] != v.order {
			delete(e.services, service)
		}
	}
	for service, order := range orders {
		if e.services[service] == nil {
			e.services[service] = &serviceEvidence{
				order: order, counts: map[evidenceKey]*rollout.Counts{}, kinds: map[string]bool{},
			}
		}
	}
	e.running.Store(int32(len(e.services)))
}

// record counts an answer.
func (e *rolloutEvidence) record(service, version, kind string, ok bool, latency time.Duration, warm bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil {
		return
	}
	if !s.kinds[kind] && len(s.kinds) >= maxEvidenceKinds {
		kind = otherKinds
	}
	s.kinds[kind] = true
	key := evidenceKey{version, kind}
	if s.counts[key] == nil {
		s.counts[key] = &rollout.Counts{}
	}
	s.counts[key].Record(ok, latency, warm)
	s.total++
}

// report returns the totals for a service, or nil if there are no new answers and the report is not required.
func (e *rolloutEvidence) report(service, from string, required bool) *wire.RolloutEvidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil || !required && s.total == s.sent {
		return nil
	}
	s.sent = s.total
	m := &wire.RolloutEvidence{From: from, Service: service, Order: s.order, Start: e.start}
	for key, c := range s.counts {
		m.Versions = append(m.Versions, &wire.VersionEvidence{
			Version: key.version, Kind: key.kind, Good: c.Good(), Failed: c.Failed(), LatencyCounts: c.Latency(),
		})
	}
	slices.SortFunc(m.Versions, func(a, b *wire.VersionEvidence) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetKind(), b.GetKind()))
	})
	return m
}

// observe records an answer of the upstream on this VM, or a failure, as evidence about its version.
func (c *rolloutController) observe(now time.Time, r *admissionRequest, ok bool, took time.Duration) {
	if !c.active() || c.evidence.running.Load() == 0 {
		return
	}
	u := c.board.Upstream()
	if u == nil || u.Service() != r.service {
		return
	}
	warm := u.StartedAt().IsZero() || now.Sub(u.StartedAt()) >= coldTime
	kind := r.call.Method() + " " + firstPathSegment(r.call.Target())
	c.evidence.record(r.service, u.Announcement().Label(versionLabel), kind, ok, took, warm)
}

// reportEvidence sends the answers of the upstream on this VM to the deciders of the roll-outs that run, and acknowledges
// their stages.
func (c *rolloutController) reportEvidence(now time.Time) {
	orders := map[string]uint64{}
	var running []rollout.Record
	c.mu.Lock()
	for service, s := range c.splits {
		if r := s.Record(); r.Order() > 0 && r.Running() {
			orders[service] = r.Order()
			running = append(running, r)
		}
	}
	c.mu.Unlock()
	c.evidence.collect(orders)
	for _, r := range running {
		c.reportTo(now, r)
	}
}

// reportTo sends a report for one roll-out to its decider.
func (c *rolloutController) reportTo(now time.Time, r rollout.Record) {
	acknowledged, busy := c.reports.begin(now, r)
	if busy {
		return
	}
	m := (*wire.RolloutEvidence)(nil)
	if !acknowledged || c.reportsEvidence(r) {
		m = c.evidence.report(r.Service(), c.members.self, !acknowledged)
	}
	if m == nil {
		c.reports.end(now, r, false)
		return
	}
	if r.InForce(now) {
		m.Sequence = r.Sequence()
	}
	if r.Decider() == c.members.self {
		c.answerEvidence(now, m)
		c.reports.end(now, r, true)
		return
	}
	c.spawn(func() {
		ack, err := c.report(r.Decider(), m)
		c.reports.end(now, r, err == nil)
		if err != nil {
			c.logger.Debug("roll-out evidence not acknowledged", "service", r.Service(), "decider", r.Decider(), "err", err)
			return
		}
		c.receiveUpdate(c.now(), &wire.RolloutUpdate{Records: []*wire.RolloutRecord{ack.GetRecord()}})
	})
}

// reportsEvidence reports whether this node sends the answers of its upstream: each node beside the target, and some beside the
// baseline.
func (c *rolloutController) reportsEvidence(r rollout.Record) bool {
	u := c.board.Upstream()
	if u == nil || u.Service() != r.Service() {
		return false
	}
	switch u.Announcement().Label(versionLabel) {
	case r.Target():
		return true
	case r.Baseline():
	default:
		return false
	}
	own, lower := xxhash.Sum64String(c.members.self), 0
	for _, m := range c.members.liveMembers() {
		e, ok := m.Endpoint()
		if ok && e.Service() == r.Service() && m.Labels()[versionLabel] == r.Baseline() && xxhash.Sum64String(m.ID()) < own {
			lower++
		}
	}
	return lower < baselineReporters
}
