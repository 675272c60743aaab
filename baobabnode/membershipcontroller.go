package baobabnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// bridges is the number of members per failure domain that exchange with other failure domains.
	bridges = 2
	// bridgePurpose ranks the bridges.
	bridgePurpose = "bridge"
	// exchangeTries is how many nodes are tried in one round of exchanges. After a mass failure most members are gone
	// and not yet known as dead.
	exchangeTries = 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// departedVisits is how many departed members a bridge visits in a round.
	departedVisits = 3
	// firstExchanges divides the time to the first exchange of a started node. The time doubles until it is normal.
	firstExchanges = 8
	// pushedRecords is how many records go with one message after an exchange.
	pushedRecords = 200
	// maxJoinBytes bounds the decompressed records of a join reply: 4,000 members take less than 1 MiB.
	maxJoinBytes = 16 << 20
)

// A membershipController probes, exchanges and spreads member records. It owns the member table and the endpoint
// index on the blackboard.
type membershipController struct {
	board         *blackboard.Board
	members       *members
	broadcaster   *broadcaster
	quarantine    *quarantineController
	configuration *configurationController
	transport     *peer.Transport
	seeds         *seedBook
	now           func() time.Time
	logger        *log.Logger
	probeInterval time.Duration
	probeTimeout  time.Duration
	exchangeEvery time.Duration
	leaving       atomic.Bool
	found         chan struct{} // Closed when another member is known for the first time.
	foundOnce     sync.Once
}

// run probes and exchanges until ctx ends.
func (c *membershipController) run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	exchanges.Go(func() { c.exchangeRounds(ctx) })
	probe := time.NewTicker(c.probeInterval)
	defer probe.Stop()
	var round sync.WaitGroup
	defer round.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-probe.C:
			c.handle(c.members.do(func(t *membership.Table) []membership.Change { return t.Expire(c.now()) }), true)
			round.Wait() // Probes time out before the next tick, so that rounds do not overlap.
			round.Go(func() { c.probeAll(ctx) })
		}
	}
}

// exchangeRounds exchanges until ctx ends. The first rounds follow each other faster, because nodes that started at
// the same time have joined through nodes that did not know each other yet.
func (c *membershipController) exchangeRounds(ctx context.Context) {
	interval := c.exchangeEvery / firstExchanges
	for sleep(ctx, c.jittered(interval)) {
		c.exchangeRound(ctx)
		interval = min(2*interval, c.exchangeEvery)
	}
}

// merge takes records from other members. Changes are not spread again, because their origin does that.
func (c *membershipController) merge(records []*wire.Member) {
	now := c.now()
	list, invalid := membership.MembersFromWire(now, records)
	if invalid > 0 {
		c.logger.Warn("invalid member records ignored", "count", invalid)
	}
	c.handle(c.members.do(func(t *membership.Table) []membership.Change { return t.Merge(now, list) }), false)
	if len(list) > 0 && c.found != nil {
		c.foundOnce.Do(func() { close(c.found) })
	}
}

// handle acts on changes of the table. Changes that this node has found itself are spread; the own record is spread
// when it refutes another node's mistake.
func (c *membershipController) handle(changes []membership.Change, found bool) {
	var spread []membership.Member
	for _, v := range changes {
		switch v.Kind() {
		case membership.ChangeRefuted:
			if !c.leaving.Load() {
				spread = append(spread, v.Member())
			}
		case membership.ChangeSuspected, membership.ChangeDied:
			if found {
				spread = append(spread, v.Member())
				c.logger.Info("member changed", "member", v.Member().ID(), "change", string(v.Kind()))
			}
		}
	}
	c.spread(spread)
}

// announceSelf changes the own record and spreads it.
func (c *membershipController) announceSelf(change func(*membership.Member)) {
	c.spread([]membership.Member{c.members.setSelf(c.now(), change)})
}

func (c *membershipController) spread(list []membership.Member) {
	if len(list) == 0 {
		return
	}
	c.broadcaster.spread(&wire.Broadcast{Update: &wire.Broadcast_Members{
		Members: &wire.MemberUpdate{Records: membership.MembersToWire(c.now(), list)},
	}})
}

// probeAll probes the ring successors and suspects those that neither answer directly nor through others.
func (c *membershipController) probeAll(ctx context.Context) {
	var targets []membership.Member
	c.members.do(func(t *membership.Table) []membership.Change {
		targets = t.ProbeTargets()
		return nil
	})
	failed := make([]bool, len(targets))
	var wg sync.WaitGroup
	for i, target := range targets {
		wg.Go(func() { failed[i] = !c.probe(ctx, target) && !c.probeIndirectly(ctx, target) })
	}
	wg.Wait()
	if ctx.Err() != nil {
		return
	}
	unanswered := 0
	var changes []membership.Change
	for i, target := range targets {
		if !failed[i] {
			continue
		}
		unanswered++
		changes = append(changes, c.members.do(func(t *membership.Table) []membership.Change {
			return t.Suspect(c.now(), target.ID())
		})...)
	}
	c.members.do(func(t *membership.Table) []membership.Change {
		t.Probed(len(targets), unanswered)
		return nil
	})
	c.handle(changes, true)
}

// probe reports whether a member answers in time.
func (c *membershipController) probe(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, c.probeTimeout)
	defer cancel()
	m := &wire.Probe{From: c.members.self, Version: toWireVersion(c.board.Version())}
	if known, ok := c.members.member(target.ID()); ok && known.State() != membership.StateAlive {
		m.Updates = membership.MembersToWire(c.now(), []membership.Member{known})
	}
	reply, err := c.transport.Request(ctx, target.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Probe{Probe: m}})
	if err != nil {
		return false
	}
	ack := reply.GetProbeAck()
	c.merge(ack.GetUpdates())
	c.configuration.heard(ack.GetVersion(), target.PeerAddress(), false)
	return ack.GetFrom() == target.ID()
}

// witness asks a member for its version and the highest version that it has heard of; it returns nil without an
// answer.
func (c *membershipController) witness(ctx context.Context, m membership.Member) *wire.ProbeAck {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := c.transport.Request(ctx, m.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{
		From: c.members.self, Version: toWireVersion(c.board.Version()),
	}}})
	if err != nil {
		return nil
	}
	c.merge(reply.GetProbeAck().GetUpdates())
	return reply.GetProbeAck()
}

// probeIndirectly reports whether a member answers other members.
func (c *membershipController) probeIndirectly(ctx context.Context, target membership.Member) bool {
	var relays []membership.Member
	c.members.do(func(t *membership.Table) []membership.Change {
		relays = t.Relays(target.ID())
		return nil
	})
	ctx, cancel := context.WithTimeout(ctx, 2*c.probeTimeout)
	defer cancel()
	answers := make(chan bool, len(relays))
	for _, relay := range relays {
		go func() {
			reply, err := c.transport.Request(ctx, relay.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_IndirectProbe{
				IndirectProbe: &wire.IndirectProbe{From: c.members.self, TargetId: target.ID(), TargetAddress: target.PeerAddress()},
			}})
			answers <- err == nil && reply.GetProbeAck().GetAlive()
		}()
	}
	alive := false
	for range relays {
		alive = <-answers || alive
	}
	return alive
}

// answerProbe answers a probe. A member that is known as dead or suspect is told so, and refutes it.
func (c *membershipController) answerProbe(m *wire.Probe) *wire.ProbeAck {
	c.merge(m.GetUpdates())
	ack := &wire.ProbeAck{
		From: c.members.self, Version: toWireVersion(c.board.Version()), Alive: true, HighestSeen: c.board.Highest(),
	}
	from, ok := c.members.member(m.GetFrom())
	if !ok {
		return ack
	}
	c.configuration.heard(m.GetVersion(), from.PeerAddress(), false)
	if from.State() != membership.StateAlive {
		ack.Updates = membership.MembersToWire(c.now(), []membership.Member{from})
	}
	return ack
}

// answerIndirectProbe probes a member on behalf of another.
func (c *membershipController) answerIndirectProbe(ctx context.Context, m *wire.IndirectProbe) *wire.ProbeAck {
	ack := &wire.ProbeAck{From: c.members.self, Version: toWireVersion(c.board.Version())}
	if target, ok := c.members.member(m.GetTargetId()); ok {
		ack.Alive = c.probe(ctx, target)
	}
	return ack
}

// exchangeRound exchanges with a random partner in the own failure domain. Bridges also exchange with another failure
// domain, and with a seed that is not a member, so that parts that lost each other join again.
func (c *membershipController) exchangeRound(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	own := c.members.selfRecord().FailureDomain()
	c.exchangeAny(ctx, func() (string, bool) {
		m, ok := c.members.partner(random)
		return m.PeerAddress(), ok
	}, false)
	if !c.members.leads(bridgePurpose, bridges) {
		return
	}
	c.exchangeAny(ctx, func() (string, bool) {
		var others []string
		for _, d := range c.members.domains() {
			if d != own {
				others = append(others, d)
			}
		}
		if len(others) == 0 {
			return "", false
		}
		return c.addressIn(random, others[random.IntN(len(others))])
	}, true)
	c.exchangeAny(ctx, func() (string, bool) { return c.seeds.stranger(random) }, true)
	c.visitDeparted(ctx, random, own)
}

// visitDeparted exchanges with members of the own failure domain that have left or died. A process that was started again
// at the same address finds the others in this way when the platform, which has the seeds, is away.
func (c *membershipController) visitDeparted(ctx context.Context, random *rand.Rand, own string) {
	list := c.members.departed(own)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var visits sync.WaitGroup
	for _, m := range list[:min(departedVisits, len(list))] {
		visits.Go(func() {
			if err := c.exchange(ctx, m.PeerAddress(), false); err != nil {
				c.logger.Debug("departed member does not answer", "member", m.ID(), "err", err)
			}
		})
	}
	visits.Wait()
}

// exchangeAny exchanges with the first node that answers, of those that choose returns.
func (c *membershipController) exchangeAny(ctx context.Context, choose func() (string, bool), foreign bool) {
	for range exchangeTries {
		address, ok := choose()
		if !ok {
			return
		}
		err := c.exchange(ctx, address, foreign)
		if err == nil {
			return
		}
		c.logger.Debug("exchange failed", "address", address, "err", err)
	}
}

// addressIn returns the address of a random member of a failure domain.
func (c *membershipController) addressIn(random *rand.Rand, domain string) (string, bool) {
	m, ok := c.members.random(random, domain)
	return m.PeerAddress(), ok
}

// exchange compares digests with another node and takes and gives the records that differ.
func (c *membershipController) exchange(ctx context.Context, address string, foreign bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := c.transport.Request(ctx, address, &wire.Envelope{Body: &wire.Envelope_Exchange{Exchange: &wire.Exchange{
		From: c.members.self, Version: toWireVersion(c.board.Version()), Digests: c.members.digest().Wire(),
		QuarantineDigest: c.quarantine.digest(),
	}}})
	if err != nil {
		return errors.Wrap(err, "exchange")
	}
	m := reply.GetExchangeReply()
	c.configuration.heard(m.GetVersion(), address, foreign)
	c.quarantine.receive(m.GetQuarantine())
	if len(m.GetDiffering()) == 0 {
		return nil
	}
	ours := c.newer(m.GetDiffering(), m.GetRecords())
	c.merge(m.GetRecords())
	for len(ours) > 0 {
		n := min(pushedRecords, len(ours))
		_, err := c.transport.Request(ctx, address, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{
			From: c.members.self, Version: toWireVersion(c.board.Version()), Updates: membership.MembersToWire(c.now(), ours[:n]),
		}}})
		if err != nil {
			return errors.Wrap(err, "exchange")
		}
		ours = ours[n:]
	}
	return nil
}

// newer returns the own records of the failure domains that the other node lacks or has with a lower incarnation or
// another state.
func (c *membershipController) newer(domains []string, theirs []*wire.Member) []membership.Member {
	known := make(map[string]*wire.Member, len(theirs))
	for _, m := range theirs {
		known[m.GetId()] = m
	}
	var list []membership.Member
	for _, m := range c.members.records(domains) {
		other, ok := known[m.ID()]
		if !ok || other.GetIncarnation() < m.Incarnation() ||
			(other.GetIncarnation() == m.Incarnation() && other.GetState() != string(m.State())) {
			list = append(list, m)
		}
	}
	return list
}

// answerExchange returns the records of the failure domains that differ.
func (c *membershipController) answerExchange(m *wire.Exchange) *wire.ExchangeReply {
	if from, ok := c.members.member(m.GetFrom()); ok {
		foreign := from.FailureDomain() != c.members.selfRecord().FailureDomain()
		c.configuration.heard(m.GetVersion(), from.PeerAddress(), foreign)
	}
	reply := &wire.ExchangeReply{
		Version: toWireVersion(c.board.Version()), Quarantine: c.quarantine.missing(m.GetQuarantineDigest()),
	}
	reply.Differing = c.members.digest().Differing(membership.DigestFromWire(m.GetDigests()))
	if len(reply.GetDiffering()) > 0 {
		reply.Records = membership.MembersToWire(c.now(), c.members.records(reply.GetDiffering()))
	}
	return reply
}

// join asks a node for all members and returns its version and the highest version it has heard of.
func (c *membershipController) join(ctx context.Context, address string) (*wire.JoinReply, error) {
	self := c.members.selfRecord()
	reply, err := c.transport.Request(ctx, address, &wire.Envelope{Body: &wire.Envelope_Join{Join: &wire.Join{Self: self.Wire(c.now())}}})
	if err != nil {
		return nil, errors.Wrap(err, "join")
	}
	data, err := decompress(reply.GetJoinReply().GetMembers())
	if err != nil {
		return nil, errors.Wrap(err, "join")
	}
	var update wire.MemberUpdate
	if err := proto.Unmarshal(data, &update); err != nil {
		return nil, errors.Wrap(err, "join")
	}
	c.merge(update.GetRecords())
	return reply.GetJoinReply(), nil
}

// answerJoin takes the record of a starting node and returns all members. The starting node spreads its record.
func (c *membershipController) answerJoin(m *wire.Join) (*wire.JoinReply, error) {
	c.merge([]*wire.Member{m.GetSelf()})
	data, err := proto.Marshal(&wire.MemberUpdate{Records: membership.MembersToWire(c.now(), c.members.records(nil))})
	if err != nil {
		return nil, errors.Wrap(err, "answer join")
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, errors.Wrap(err, "answer join")
	}
	return &wire.JoinReply{
		Version: toWireVersion(c.board.Version()), Members: compressed, HighestSeen: c.board.Highest(),
	}, nil
}

// leave spreads that this node stops as planned.
func (c *membershipController) leave() {
	c.leaving.Store(true)
	c.announceSelf(func(m *membership.Member) { m.SetLeft() })
}

// jittered returns a duration between 0.75 and 1.25 times d, so that nodes that start together do not stay in step.
func (c *membershipController) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

func compress(data []byte) ([]byte, error) {
	// The default level takes 1.7 MB for each encoder instead of 0.3 MB, which shows where many nodes join at once.
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(data, nil), nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxJoinBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	defer r.Close()
	out, err := r.DecodeAll(data, nil)
	return out, errors.Wrap(err, "decompress")
}
