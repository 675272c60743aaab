package baobabnode

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
	route "github.com/baobabdale/baobabdale/baobabroute"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// versionLabel is the label of an upstream that states its version.
	versionLabel = "version"
	// rolloutInterval is how often a node reports evidence, and a decider decides, while a roll-out runs.
	rolloutInterval = 250 * time.Millisecond
	// rolloutReportTimeout bounds one report of evidence.
	rolloutReportTimeout = 500 * time.Millisecond
)

// A rolloutController keeps each service on the versions that its roll-outs allow.
type rolloutController struct {
	enabled bool
	board   *blackboard.Board
	members *memberTable
	now     func() time.Time
	logger  *log.Logger

	views      *blackboard.ShardedMap[string, *rolloutView] // By service.
	generation atomic.Uint64                                // Rises with each change of a split.

	orderPollInterval time.Duration // Between reads of the orders; 0: a source hands them on.

	store    rolloutStore
	publish  func(*wire.RolloutUpdate) // Broadcasts records.
	report   func(decider string, m *wire.RolloutEvidence) (*wire.RolloutEvidenceAck, error)
	spawn    func(func()) // Runs a function in the background.
	metrics  *metrics.Set
	evidence *rolloutEvidence
	reports  *rolloutReports
	wake     chan struct{} // Receives a value when a new stage is known.

	mu       sync.Mutex
	splits   map[string]*rollout.Split  // Guarded by mu; by service.
	deciding map[string]*rolloutDecider // Guarded by mu; by service.
}

func newRolloutController(enabled bool, board *blackboard.Board, members *memberTable, now func() time.Time,
	logger *log.Logger) *rolloutController {
	return &rolloutController{
		enabled: enabled, board: board, members: members, now: now, logger: logger,
		views: blackboard.NewShardedMap[string, *rolloutView](), splits: map[string]*rollout.Split{},
		deciding: map[string]*rolloutDecider{}, evidence: newRolloutEvidence(now()), reports: newRolloutReports(),
		wake: make(chan struct{}, 1),
	}
}

// connect sets what the controller needs to decide roll-outs and to report evidence.
func (c *rolloutController) connect(store platform.Store, b *broadcaster, t *peer.Transport, m *metrics.Set) {
	c.store, c.metrics, c.spawn = rolloutStore{store: store, now: c.now}, m, b.goTracked
	c.publish = func(u *wire.RolloutUpdate) {
		b.broadcast(&wire.Broadcast{Update: &wire.Broadcast_Rollouts{Rollouts: u}})
	}
	c.report = func(decider string, m *wire.RolloutEvidence) (*wire.RolloutEvidenceAck, error) {
		to, ok := c.members.member(decider)
		if !ok {
			return nil, errors.Errorf("report roll-out evidence: %s is not a member", decider)
		}
		ctx, cancel := context.WithTimeout(context.Background(), rolloutReportTimeout)
		defer cancel()
		reply, err := t.Request(ctx, to.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_RolloutEvidence{RolloutEvidence: m}})
		return reply.GetRolloutEvidenceAck(), errors.Wrap(err, "report roll-out evidence")
	}
}

// run follows orders and decides stages until ctx ends.
func (c *rolloutController) run(ctx context.Context) error {
	if !c.enabled {
		return nil
	}
	if c.orderPollInterval > 0 {
		c.spawn(func() { c.pollOrders(ctx) })
	}
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-tick.C:
			c.observeUpstreams(c.now())
		}
		now := c.now()
		c.reportEvidence(now)
		c.decideAll(ctx, now)
	}
}

// notify makes run act on a new stage or order at once.
func (c *rolloutController) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// candidates returns the endpoints that a call may use, and the version that their upstreams must have (empty: any). It
// returns set itself while the service has only one version.
func (c *rolloutController) candidates(now time.Time, random *rand.Rand, set *route.CandidateSet) (*route.CandidateSet, string) {
	if !c.active() {
		return set, ""
	}
	return c.view(now, set.Service(), set).choose(random)
}

// active reports whether requests are restricted to versions.
func (c *rolloutController) active() bool { return c != nil && c.enabled }

// check refuses a call that the upstream on this VM must not run because of its version.
func (c *rolloutController) check(now time.Time, r *admissionRequest) *call.Refusal {
	if !c.active() {
		return nil
	}
	u := c.board.Upstream()
	if u == nil {
		return nil
	}
	version := u.Announcement().Label(versionLabel)
	stage := c.view(now, r.service, c.board.Endpoints(r.service)).stage
	matches := version == "" || r.version == version || r.version == "" && stage.IsBaseline(version)
	if !matches || !stage.Allows(version) {
		return call.NewRefusal(call.ReasonNoUpstream, call.OutcomeNotRun, "the version "+version+" of the upstream gets no such calls")
	}
	return nil
}

// view returns the view of a service with the given endpoints, which may be nil.
func (c *rolloutController) view(now time.Time, service string, set *route.CandidateSet) *rolloutView {
	generation := c.generation.Load()
	if v, ok := c.views.Get(service); ok && v.valid(now, set, generation) {
		return v
	}
	populations, versions := c.populations(now)
	c.mu.Lock()
	stage := c.split(now, service).Stage(now, populations[service])
	c.mu.Unlock()
	v := newRolloutView(now, generation, set, stage, versions, c.members.selfRecord())
	c.views.Set(service, v)
	return v
}

// split returns the split of a service. It requires mu.
func (c *rolloutController) split(now time.Time, service string) *rollout.Split {
	s, ok := c.splits[service]
	if !ok {
		s = rollout.NewSplit(now)
		c.splits[service] = s
	}
	return s
}

// populations returns the versions of the upstreams of each service, and the version by member.
func (c *rolloutController) populations(now time.Time) (map[string]rollout.Populations, map[string]string) {
	byService, versions := map[string]rollout.Populations{}, map[string]string{}
	for _, m := range c.members.liveMembers() {
		e, ok := m.Endpoint()
		if !ok || e.State() == membership.EndpointFailed {
			continue
		}
		version := m.Labels()[versionLabel]
		versions[m.ID()] = version
		if byService[e.Service()] == nil {
			byService[e.Service()] = rollout.Populations{}
		}
		byService[e.Service()].Add(now, version, e.StartTime())
	}
	return byService, versions
}

// observeUpstreams records the upstreams that this node knows.
func (c *rolloutController) observeUpstreams(now time.Time) {
	populations, _ := c.populations(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, p := range populations {
		s := c.split(now, service)
		before, _ := s.Held()
		s.Observe(now, p)
		if after, _ := s.Held(); after != before {
			c.logger.Info("version in use", "service", service, "version", after)
			c.generation.Add(1)
		}
	}
}

// observeOrder records an order of the operator.
func (c *rolloutController) observeOrder(o rollout.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.split(c.now(), o.Service()).ObserveOrder(o) {
		c.logger.Info("roll-out ordered", "service", o.Service(), "target", o.Target(), "duration", o.Duration(), "order", o.Revision())
		c.generation.Add(1)
		c.notify()
	}
}

// receiveUpdate applies roll-out records from another node.
func (c *rolloutController) receiveUpdate(now time.Time, m *wire.RolloutUpdate) {
	if !c.active() {
		return
	}
	for _, w := range m.GetRecords() {
		c.merge(now, w)
	}
}

// merge applies one record from another node and reports whether it is a new stage.
func (c *rolloutController) merge(now time.Time, w *wire.RolloutRecord) bool {
	if w.GetService() == "" {
		return false
	}
	at := now.Add(-time.Duration(max(w.GetAgeUs(), 0)) * time.Microsecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.split(now, w.GetService())
	before := s.Record()
	var changed bool
	if w.GetOrder() == 0 {
		if changed = s.MergeHeld(w.GetBaseline(), at); changed {
			c.logger.Info("version in use", "service", w.GetService(), "version", w.GetBaseline(), "held", now.Sub(at))
		}
	} else {
		r := fromWireRecord(w, at)
		changed = s.Merge(r)
		if r.State() == rollout.StateRollingBack && before.Share() > 0 {
			changed = s.Stop(r) || changed
		}
	}
	if changed || !s.Record().Confirmed().Equal(before.Confirmed()) {
		c.generation.Add(1)
	}
	if changed {
		c.notify()
	}
	return changed
}

// digest returns the digest of the known records, or 0 without any.
func (c *rolloutController) digest() uint64 {
	if !c.active() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := fnv.New64a()
	known := false
	for _, service := range slices.Sorted(maps.Keys(c.splits)) {
		r := c.splits[service].Record()
		held, _ := c.splits[service].Held()
		if r.Order() == 0 && held == "" {
			continue
		}
		known = true
		_, _ = h.Write([]byte(service + "\x00" + held + "\x00"))
		_ = binary.Write(h, binary.BigEndian, []uint64{r.Order(), r.Sequence(), math.Float64bits(r.Share())})
	}
	if !known {
		return 0
	}
	return h.Sum64()
}

// records returns the known records for an exchange.
func (c *rolloutController) records(now time.Time) *wire.RolloutUpdate {
	if !c.active() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &wire.RolloutUpdate{}
	for _, service := range slices.Sorted(maps.Keys(c.splits)) {
		s := c.splits[service]
		if held, since := s.Held(); held != "" {
			m.Records = append(m.Records, &wire.RolloutRecord{Service: service, Baseline: held, AgeUs: now.Sub(since).Microseconds()})
		}
		if r := s.Record(); r.Order() > 0 {
			m.Records = append(m.Records, toWireRecord(now, r))
		}
	}
	return m
}

// answerEvidence records the evidence of another node and returns the newest stage.
func (c *rolloutController) answerEvidence(now time.Time, m *wire.RolloutEvidence) *wire.RolloutEvidenceAck {
	ack := &wire.RolloutEvidenceAck{}
	if !c.active() {
		return ack
	}
	c.mu.Lock()
	decider := c.deciding[m.GetService()]
	c.mu.Unlock()
	if decider != nil {
		decider.recordEvidence(now, m)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.splits[m.GetService()]; ok && s.Record().Order() > 0 {
		ack.Record = toWireRecord(now, s.Record())
	}
	return ack
}

// fromWireRecord converts a record that its decider confirmed at a time.
func fromWireRecord(w *wire.RolloutRecord, confirmed time.Time) rollout.Record {
	return rollout.ReceivedRecord(w.GetService(), w.GetOrder(), w.GetSequence(), w.GetTarget(), w.GetBaseline(), w.GetShare(),
		rollout.State(w.GetState()), w.GetDecider(), confirmed)
}

func toWireRecord(now time.Time, r rollout.Record) *wire.RolloutRecord {
	return &wire.RolloutRecord{
		Service: r.Service(), Order: r.Order(), Sequence: r.Sequence(), Target: r.Target(), Baseline: r.Baseline(),
		Share: r.Share(), State: string(r.State()), AgeUs: now.Sub(r.Confirmed()).Microseconds(), Decider: r.Decider(),
	}
}
