package baobabnode

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// rolloutConfirmInterval is how often the decider checks in the store that no other one has written a stage.
	rolloutConfirmInterval = time.Second
	// rolloutTakeover is the age of a stage from which the next decider takes over: the one before has failed to reach the
	// store for a second.
	rolloutTakeover = 2 * time.Second
	// rolloutRankDelay is how much later each further node in the order of deciders begins or takes over.
	rolloutRankDelay = 400 * time.Millisecond
	// rolloutStoreTimeout bounds one store call of a decider.
	rolloutStoreTimeout = 800 * time.Millisecond
	// rolloutAckInterval is how often a member repeats its acknowledgement while all requests go to the target, and
	// rolloutAckLimit the age from which it counts as missing.
	rolloutAckInterval = 400 * time.Millisecond
	rolloutAckLimit    = time.Second
)

// A rolloutDecider decides the stages of one service's roll-out while this node is its decider.
type rolloutDecider struct {
	service string

	mu           sync.Mutex
	busy         bool      // A step is running.
	orderedAt    time.Time // When this node learned of the order.
	order        rollout.Order
	owned        rollout.Record             // Last stage that this node wrote or took over; order 0: none.
	revision     uint64                     // Of the row with the owned stage.
	startedAt    time.Time                  // Of the roll-out, by this node's clock.
	stagedAt     time.Time                  // When the owned stage was written.
	acksAt       time.Time                  // Since when all live members acknowledge it; zero: some do not.
	missingAt    time.Time                  // Since when some do not; zero: all do.
	remindedAt   time.Time                  // When members that do not acknowledge the stage were last sent it.
	acks         map[string]acknowledgement // Last one of each member.
	confirmedAt  time.Time                  // When the store was last asked about the owned stage.
	judge        *rollout.Judge
	stageAnswers uint64 // Answers of the target when the stage was written.
	waiting      string // What the stage waits for.
}

// An acknowledgement is the stage that a member had in force at a time.
type acknowledgement struct {
	sequence uint64
	at       time.Time
}

// owns reports whether this node decides the roll-out with the given record. It requires mu.
func (d *rolloutDecider) owns(r rollout.Record) bool {
	return d.owned.Order() > 0 && d.owned.SameStage(r) && d.owned.Decider() == r.Decider()
}

// deciders returns the members that may decide a service's roll-out, the preferred one first. They are those that follow the
// orders in the store.
func (c *rolloutController) deciders(service string) []string {
	var list []membership.Member
	for _, domain := range c.members.domains() {
		watchers := c.members.headOrder(domain)
		list = append(list, watchers[:min(headWatchers, len(watchers))]...)
	}
	ids := make([]string, len(list))
	for i, m := range list {
		ids[i] = m.ID()
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(service+"/"+a), xxhash.Sum64String(service+"/"+b)), cmp.Compare(a, b))
	})
	return ids
}

// decideAll runs a step of each roll-out that this node may decide.
func (c *rolloutController) decideAll(ctx context.Context, now time.Time) {
	c.mu.Lock()
	var due []*rolloutDecider
	for service, s := range c.splits {
		o, r := s.Order(), s.Record()
		if o.Revision() == 0 || r.Order() > o.Revision() || r.Order() == o.Revision() && !r.Running() {
			continue
		}
		d := c.deciding[service]
		if d == nil {
			d = &rolloutDecider{service: service}
			c.deciding[service] = d
		}
		due = append(due, d)
	}
	c.mu.Unlock()
	for _, d := range due {
		d.mu.Lock()
		start := !d.busy
		d.busy = d.busy || start
		d.mu.Unlock()
		if !start {
			continue
		}
		c.spawn(func() {
			c.decide(ctx, now, d)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.busy = false
		})
	}
}

// decide runs one step of a roll-out: it takes over if it is this node's turn, or decides the next stage.
func (c *rolloutController) decide(ctx context.Context, now time.Time, d *rolloutDecider) {
	rank := slices.Index(c.deciders(d.service), c.members.self)
	if rank < 0 {
		return
	}
	c.mu.Lock()
	order, record := c.splits[d.service].Order(), c.splits[d.service].Record()
	c.mu.Unlock()
	d.mu.Lock()
	if d.order != order {
		d.order, d.orderedAt, d.owned = order, now, rollout.Record{}
		d.judge, d.acks = nil, map[string]acknowledgement{}
	}
	owns, orderedAt := d.owns(record), d.orderedAt
	d.mu.Unlock()
	if owns {
		c.confirmStage(ctx, now, d)
		c.nextStage(ctx, c.now(), d)
		return
	}
	since, wait := record.Confirmed(), rolloutTakeover
	if record.Order() < order.Revision() {
		since, wait = orderedAt, 0
	}
	if now.Sub(since) >= wait+time.Duration(rank)*rolloutRankDelay {
		c.takeOver(ctx, now, d)
	}
}

// takeOver makes this node the decider: it writes the first stage of a new order, or repeats the stage of a decider that does not
// confirm it.
func (c *rolloutController) takeOver(ctx context.Context, now time.Time, d *rolloutDecider) {
	ctx, cancel := context.WithTimeout(ctx, 2*rolloutStoreTimeout)
	defer cancel()
	stored, revision, err := c.store.read(ctx, d.service)
	if err != nil {
		c.logger.Warn("roll-out stage not read", "service", d.service, "err", err)
		return
	}
	populations, _ := c.populations(now)
	p := populations[d.service]
	c.mu.Lock()
	s := c.split(now, d.service)
	if stored.Order() > 0 && s.Merge(stored) {
		c.generation.Add(1)
	}
	earlier, baseline := s.Record(), s.Baseline(now, p)
	c.mu.Unlock()
	if stored.Order() >= d.order.Revision() && !stored.Running() || stored.Order() > d.order.Revision() {
		c.spread(now, stored)
		return
	}
	d.mu.Lock()
	order, startedAt := d.order, d.orderedAt
	d.mu.Unlock()
	var next rollout.Record
	if stored.Order() == order.Revision() {
		if begun := now.Add(-stored.Elapsed()); begun.Before(startedAt) {
			startedAt = begun
		}
		next = stored.Next(stored.Share(), stored.State(), stored.Reason(), c.members.self, now.Sub(startedAt), now)
	} else if problem := order.Problem(baseline, len(p) > 0); problem != "" {
		next = rollout.RejectedRecord(order, earlier, baseline, problem, c.members.self, now)
	} else {
		next = rollout.NewRecord(order, baseline, c.members.self, now)
	}
	c.writeStage(ctx, d, next, revision, startedAt)
}

// writeStage writes a stage under the condition that the row still has a revision, applies it and spreads it.
func (c *rolloutController) writeStage(ctx context.Context, d *rolloutDecider, next rollout.Record, revision uint64, startedAt time.Time,
	inputs ...any) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	sent := c.now()
	next = next.ConfirmedAt(sent)
	written, err := c.store.write(ctx, next, revision)
	if err != nil {
		c.handleStoreError(d, err)
		return
	}
	c.logger.Info("roll-out stage decided", append([]any{"service", d.service, "order", next.Order(), "sequence", next.Sequence(),
		"target", next.Target(), "baseline", next.Baseline(), "share", next.Share(), "state", string(next.State()),
		"reason", next.Reason(), "elapsed", next.Elapsed(), "took", c.now().Sub(sent)}, inputs...)...)
	c.metrics.GetOrCreateCounter(`baobab_rollout_stages_total{state="` + string(next.State()) + `"}`).Inc()
	d.mu.Lock()
	d.owned, d.revision, d.startedAt, d.stagedAt, d.confirmedAt = next, written, startedAt, sent, sent
	d.acksAt, d.missingAt = time.Time{}, sent
	if d.judge == nil {
		d.judge = rollout.NewJudge(sent, next.Target(), next.Baseline())
	}
	d.stageAnswers = d.judge.Answers()
	d.mu.Unlock()
	c.apply(next)
	c.spread(c.now(), next)
}

// handleStoreError applies the row that another decider has written, after a conflict. After other errors the stage grows old,
// so that another node takes over.
func (c *rolloutController) handleStoreError(d *rolloutDecider, err error) {
	var e *platform.Error
	if !errors.As(err, &e) || e.Kind() != platform.KindConflict {
		c.logger.Warn("roll-out stage not written", "service", d.service, "err", err)
		return
	}
	row, ok := e.Row(RolloutKeyPrefix + d.service)
	r, err := rollout.DecodeRecord(row.Value(), c.now())
	d.mu.Lock()
	d.owned = rollout.Record{}
	if ok && err == nil && r.Order() == d.order.Revision() && r.Decider() == c.members.self && d.judge != nil {
		// An earlier write without an answer has taken effect.
		d.owned, d.revision, d.stagedAt, d.confirmedAt, d.acksAt = r, row.Revision(), c.now(), c.now(), time.Time{}
		d.stageAnswers = d.judge.Answers()
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	if err != nil {
		c.logger.Error("malformed roll-out stage", "service", d.service, "err", err)
		return
	}
	c.apply(r)
	c.spread(c.now(), r)
}

// confirmStage checks in the store that this node is still the decider, and spreads that the stage is still in force.
func (c *rolloutController) confirmStage(ctx context.Context, now time.Time, d *rolloutDecider) {
	d.mu.Lock()
	due, revision, owned := now.Sub(d.confirmedAt) >= rolloutConfirmInterval, d.revision, d.owned
	d.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	sent := c.now()
	if err := c.store.confirm(ctx, d.service, revision); err != nil {
		c.handleStoreError(d, err)
		return
	}
	d.mu.Lock()
	d.confirmedAt, d.owned = sent, owned.ConfirmedAt(sent)
	d.mu.Unlock()
	c.apply(owned.ConfirmedAt(sent))
	c.spread(c.now(), owned.ConfirmedAt(sent))
}

// nextStage decides the next stage by the plan. A stage that stops the target is spread before it is written, because the store
// may be slow.
func (c *rolloutController) nextStage(ctx context.Context, now time.Time, d *rolloutDecider) {
	d.mu.Lock()
	if d.owned.Order() == 0 {
		d.mu.Unlock()
		return
	}
	in := c.inputs(now, d)
	plan, owned, revision, startedAt := rollout.NewPlan(d.order.Duration()), d.owned, d.revision, d.startedAt
	share, state, reason, ok := plan.Next(owned, in)
	remind := owned.Share() == 1 && in.Missing > 0 && now.Sub(d.remindedAt) >= rolloutAckInterval
	if remind {
		d.remindedAt = now
	}
	d.waiting = plan.Waiting(owned, in)
	d.mu.Unlock()
	if remind {
		c.spread(now, owned) // Some members may have missed the stage, and the store may be away.
	}
	if !ok {
		return
	}
	next := owned.Next(share, state, reason, c.members.self, in.Elapsed, now)
	if state == rollout.StateRollingBack {
		c.stop(now, owned)
	}
	c.writeStage(ctx, d, next, revision, startedAt, "since_stage", in.SinceStage, "since_acks", in.SinceAcks,
		"answers", in.Verdict.Answers(), "stage_answers", in.StageAnswers, "suspicion", math.Round(100*in.Suspicion)/100,
		"target_slots", in.TargetSlots, "baseline_slots", in.BaselineSlots)
}

// inputs returns what the next stage depends on. It requires d.mu.
func (c *rolloutController) inputs(now time.Time, d *rolloutDecider) rollout.Inputs {
	in := rollout.Inputs{
		Elapsed: now.Sub(d.startedAt), SinceStage: now.Sub(d.stagedAt), SinceAcks: -1,
		Verdict: d.judge.Decide(now), Suspicion: d.judge.Suspicion(),
	}
	in.StageAnswers = in.Verdict.Answers() - d.stageAnswers
	missing := 0
	if !d.owned.InForce(now) {
		missing++
		d.missingAt = now // The others have time to come back to the stage once the store confirms it.
	}
	for _, m := range c.members.liveMembers() {
		if m.State() == membership.StateAlive && m.ID() != c.members.self && !d.acknowledges(now, m.ID()) {
			missing++
		}
		e, ok := m.Endpoint()
		if !ok || e.Service() != d.service || !acceptsCalls(e.State()) {
			continue
		}
		switch m.Labels()[versionLabel] {
		case d.owned.Target():
			in.TargetSlots += int(e.Slots())
		case d.owned.Baseline():
			in.BaselineSlots += int(e.Slots())
		}
	}
	switch {
	case missing > 0 && d.missingAt.IsZero():
		d.acksAt, d.missingAt = time.Time{}, now
	case missing == 0 && d.acksAt.IsZero():
		d.acksAt, d.missingAt = now, time.Time{}
	}
	if missing == 0 {
		in.SinceAcks = now.Sub(d.acksAt)
	} else {
		in.Missing = now.Sub(d.missingAt)
	}
	return in
}

// acknowledges reports whether a member has the stage in force. While all requests go to the target, a member repeats its
// acknowledgement, because it may have restarted without the stage. It requires mu.
func (d *rolloutDecider) acknowledges(now time.Time, member string) bool {
	a := d.acks[member]
	return a.sequence >= d.owned.Sequence() && (d.owned.Share() < 1 || now.Sub(a.at) < rolloutAckLimit)
}

// apply applies a stage that this node has written or read.
func (c *rolloutController) apply(r rollout.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.split(c.now(), r.Service()).Merge(r)
	c.generation.Add(1)
}

// stop ends the requests for the target of a stage on all nodes, before the next stage is written.
func (c *rolloutController) stop(now time.Time, stage rollout.Record) {
	c.mu.Lock()
	stopped := c.splits[stage.Service()].Stop(stage)
	c.generation.Add(1)
	c.mu.Unlock()
	if !stopped {
		return
	}
	w := toWireRecord(now, stage)
	w.State, w.Share = string(rollout.StateRollingBack), 0
	c.publish(&wire.RolloutUpdate{Records: []*wire.RolloutRecord{w}})
}

// spread broadcasts a stage.
func (c *rolloutController) spread(now time.Time, r rollout.Record) {
	c.publish(&wire.RolloutUpdate{Records: []*wire.RolloutRecord{toWireRecord(now, r)}})
}

// recordEvidence adds a report of a node to the roll-out that this node decides.
func (d *rolloutDecider) recordEvidence(now time.Time, m *wire.RolloutEvidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.judge == nil || d.owned.Order() != m.GetOrder() {
		return
	}
	d.acks[m.GetFrom()] = acknowledgement{sequence: m.GetSequence(), at: now}
	for _, v := range m.GetVersions() {
		d.judge.Observe(m.GetFrom(), m.GetStart(), v.GetVersion(), v.GetKind(),
			rollout.NewCounts(v.GetGood(), v.GetFailed(), v.GetLatencyCounts()))
	}
}
