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
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// bridgesPerDomain is the number of members per failure domain that exchange records with other failure domains.
	bridgesPerDomain = 2
	// bridgeRole is the rendezvous-hash key that elects the bridges.
	bridgeRole = "bridge"
	// exchangeAttempts is how many nodes are tried in one exchange. After a mass failure most members are gone but
	// not yet known as dead.
	exchangeAttempts = 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// departedContacts is how many departed members a bridge contacts in a round.
	departedContacts = 3
	// firstExchangeDivisor divides the exchange interval of a node that has just started. The interval doubles each
	// round until it is normal.
	firstExchangeDivisor = 8
	// recordsPerMessage is how many records are sent in one message after an exchange.
	recordsPerMessage = 200
	// maxJoinBytes bounds the decompressed records of a join reply. The records of 4,000 members take less than 1 MiB.
	maxJoinBytes = 16 << 20
)

// A membershipController probes members, and exchanges and broadcasts member records. It owns the member table and the
// endpoint index on the blackboard.
type membershipController struct {
	board            *blackboard.Board
	members          *memberTable
	broadcaster      *broadcaster
	quarantine       *quarantineController
	rollouts         *rolloutController
	configuration    *configurationController
	transport        *peer.Transport
	seeds            *seedRegistry
	registry         *upstream.Registry
	firstIncarnation uint64 // Of this process; records of this node with a lower one are from an earlier process.
	now              func() time.Time
	logger           *log.Logger
	probeInterval    time.Duration
	probeTimeout     time.Duration
	exchangeInterval time.Duration
	leaving          atomic.Bool
	cutOff           atomic.Bool   // No other node that was probed in the last round answered, or few of this domain and none of another.
	peerFound        chan struct{} // Closed when the first record from another member arrives.
	peerFoundOnce    sync.Once
}

// run probes and exchanges until ctx is done.
func (c *membershipController) run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	exchanges.Go(func() { c.exchangeLoop(ctx) })
	probe := time.NewTicker(c.probeInterval)
	defer probe.Stop()
	var round sync.WaitGroup
	defer round.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-probe.C:
			c.handleChanges(c.members.withTable(func(t *membership.Table) []membership.Change { return t.Expire(c.now()) }), true)
			round.Wait() // Probes time out before the next tick, so that rounds do not overlap.
			round.Go(func() { c.probeAll(ctx) })
		}
	}
}

// exchangeLoop exchanges until ctx is done. The first rounds follow one another faster, because nodes that started at
// the same time may have joined through nodes that did not know each other yet.
func (c *membershipController) exchangeLoop(ctx context.Context) {
	interval := c.exchangeInterval / firstExchangeDivisor
	for sleep(ctx, c.jittered(interval)) {
		c.exchangeRound(ctx)
		interval = min(2*interval, c.exchangeInterval)
	}
}

// merge merges records from other members into the table. It does not broadcast the changes, because their origin does.
func (c *membershipController) merge(records []*wire.Member) {
	now := c.now()
	list, invalid := membership.MembersFromWire(now, records)
	if invalid > 0 {
		c.logger.Warn("invalid member records ignored", "count", invalid)
	}
	c.inheritNotice(list)
	c.handleChanges(c.members.withTable(func(t *membership.Table) []membership.Change { return t.Merge(now, list) }), false)
	if len(list) > 0 && c.peerFound != nil {
		c.peerFoundOnce.Do(func() { close(c.peerFound) })
	}
}

// inheritNotice takes over what an earlier process of this node knew of the upstream on this VM: its request limit and
// whether it leaves. The clock may have been set back between the two processes, so a record that is newer than that of
// this process is from an earlier one, too.
func (c *membershipController) inheritNotice(records []membership.Member) {
	for _, m := range records {
		e, ok := m.Endpoint()
		if m.ID() != c.members.self || !ok || e.RequestLimit() < 0 && !e.Leaving() {
			continue
		}
		if m.Incarnation() < c.firstIncarnation || m.Incarnation() > c.members.selfRecord().Incarnation() {
			c.registry.InheritNotice(e.UpstreamID(), e.StartTime(), upstream.NewNotice(e.RequestLimit(), e.Leaving()))
		}
	}
}

// handleChanges broadcasts changes of the table: those that this node has detected itself, and its own record if it
// refutes another node's suspicion.
func (c *membershipController) handleChanges(changes []membership.Change, detected bool) {
	var updated []membership.Member
	for _, v := range changes {
		switch v.Kind() {
		case membership.ChangeRefuted:
			if !c.leaving.Load() {
				updated = append(updated, v.Member())
			}
		case membership.ChangeSuspected, membership.ChangeDied:
			if detected {
				updated = append(updated, v.Member())
				c.logger.Info("member changed", "member", v.Member().ID(), "change", string(v.Kind()))
			}
		}
	}
	c.broadcastRecords(updated)
}

// announceSelf changes this node's record and broadcasts it.
func (c *membershipController) announceSelf(change func(*membership.Member)) {
	c.broadcastRecords([]membership.Member{c.members.updateSelf(c.now(), change)})
}

func (c *membershipController) broadcastRecords(list []membership.Member) {
	if len(list) == 0 {
		return
	}
	c.broadcaster.broadcast(&wire.Broadcast{Update: &wire.Broadcast_Members{
		Members: &wire.MemberUpdate{Records: membership.MembersToWire(c.now(), list)},
	}})
}

// probeAll probes the ring successors and marks those as suspect that answer neither directly nor through relays.
func (c *membershipController) probeAll(ctx context.Context) {
	var targets []membership.Member
	c.members.withTable(func(t *membership.Table) []membership.Change {
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
		changes = append(changes, c.members.withTable(func(t *membership.Table) []membership.Change {
			return t.Suspect(c.now(), target.ID())
		})...)
	}
	c.members.withTable(func(t *membership.Table) []membership.Change {
		t.RecordProbeRound(len(targets), unanswered)
		return nil
	})
	c.handleChanges(changes, true)
	c.updateCutOff(ctx, len(targets), unanswered)
}

// probe reports whether a member answers within the probe timeout.
func (c *membershipController) probe(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, c.probeTimeout)
	defer cancel()
	m := &wire.Probe{From: c.members.self, Version: toWireVersion(c.board.ActiveVersion())}
	if known, ok := c.members.member(target.ID()); ok && known.State() != membership.StateAlive {
		m.Updates = membership.MembersToWire(c.now(), []membership.Member{known})
	}
	reply, err := c.transport.Request(ctx, target.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Probe{Probe: m}})
	if err != nil {
		return false
	}
	ack := reply.GetProbeAck()
	c.merge(ack.GetUpdates())
	c.configuration.observeVersion(ack.GetVersion(), target.PeerAddress(), false)
	return ack.GetFrom() == target.ID()
}

// queryVersion asks a member for its version and the highest version that it knows. It returns nil if the member does
// not answer.
func (c *membershipController) queryVersion(ctx context.Context, m membership.Member) *wire.ProbeAck {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := c.transport.Request(ctx, m.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{
		From: c.members.self, Version: toWireVersion(c.board.ActiveVersion()),
	}}})
	if err != nil {
		return nil
	}
	c.merge(reply.GetProbeAck().GetUpdates())
	return reply.GetProbeAck()
}

// probeIndirectly reports whether a member answers the probe of any of its relays.
func (c *membershipController) probeIndirectly(ctx context.Context, target membership.Member) bool {
	var relays []membership.Member
	c.members.withTable(func(t *membership.Table) []membership.Change {
		relays = t.ProbeRelays(target.ID())
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

// answerProbe answers a probe. If the prober is known as suspect or dead, the answer includes its record, so that it
// can refute it.
func (c *membershipController) answerProbe(m *wire.Probe) *wire.ProbeAck {
	c.merge(m.GetUpdates())
	ack := &wire.ProbeAck{
		From: c.members.self, Version: toWireVersion(c.board.ActiveVersion()), Alive: true, HighestSeen: c.board.HighestNumber(),
	}
	from, ok := c.members.member(m.GetFrom())
	if !ok {
		return ack
	}
	c.configuration.observeVersion(m.GetVersion(), from.PeerAddress(), false)
	if from.State() != membership.StateAlive {
		ack.Updates = membership.MembersToWire(c.now(), []membership.Member{from})
	}
	return ack
}

// answerIndirectProbe probes a member on behalf of another.
func (c *membershipController) answerIndirectProbe(ctx context.Context, m *wire.IndirectProbe) *wire.ProbeAck {
	ack := &wire.ProbeAck{From: c.members.self, Version: toWireVersion(c.board.ActiveVersion())}
	if target, ok := c.members.member(m.GetTargetId()); ok {
		ack.Alive = c.probe(ctx, target)
	}
	return ack
}

// exchangeRound exchanges records with a random partner in this failure domain. Bridges also exchange with a member of
// another failure domain, with a seed that is not a member and with departed members, so that a partitioned mesh merges
// again.
func (c *membershipController) exchangeRound(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	own := c.members.selfRecord().FailureDomain()
	c.exchangeAny(ctx, func() (string, bool) {
		m, ok := c.members.exchangePartner(random)
		return m.PeerAddress(), ok
	}, false)
	if !c.members.hasRole(bridgeRole, bridgesPerDomain) {
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
		return c.randomAddress(random, others[random.IntN(len(others))])
	}, true)
	c.exchangeAny(ctx, func() (string, bool) { return c.seeds.nonMember(random) }, true)
	c.contactDeparted(ctx, random, own)
}

// contactDeparted exchanges with members of a failure domain that have left or died. This reaches a process that was
// restarted at the same address while the platform, which stores the seeds, is unavailable.
func (c *membershipController) contactDeparted(ctx context.Context, random *rand.Rand, domain string) {
	list := c.members.departed(domain)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var contacts sync.WaitGroup
	for _, m := range list[:min(departedContacts, len(list))] {
		contacts.Go(func() {
			if err := c.exchange(ctx, m.PeerAddress(), false); err != nil {
				c.logger.Debug("departed member did not answer", "member", m.ID(), "err", err)
			}
		})
	}
	contacts.Wait()
}

// exchangeAny exchanges with the first node that answers among those that choose returns.
func (c *membershipController) exchangeAny(ctx context.Context, choose func() (string, bool), crossDomain bool) {
	for range exchangeAttempts {
		address, ok := choose()
		if !ok {
			return
		}
		err := c.exchange(ctx, address, crossDomain)
		if err == nil {
			return
		}
		c.logger.Debug("exchange failed", "address", address, "err", err)
	}
}

// randomAddress returns the address of a random member of a failure domain.
func (c *membershipController) randomAddress(random *rand.Rand, domain string) (string, bool) {
	m, ok := c.members.randomMember(random, domain)
	return m.PeerAddress(), ok
}

// exchange compares digests with another node, and merges and sends the records that differ.
func (c *membershipController) exchange(ctx context.Context, address string, crossDomain bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := c.transport.Request(ctx, address, &wire.Envelope{Body: &wire.Envelope_Exchange{Exchange: &wire.Exchange{
		From: c.members.self, Version: toWireVersion(c.board.ActiveVersion()), Digests: c.members.digest().Wire(),
		QuarantineDigest: c.quarantine.digest(), RolloutDigest: c.rollouts.digest(),
	}}})
	if err != nil {
		return errors.Wrap(err, "exchange")
	}
	m := reply.GetExchangeReply()
	c.configuration.observeVersion(m.GetVersion(), address, crossDomain)
	c.quarantine.receiveUpdate(m.GetQuarantine())
	c.rollouts.receiveUpdate(c.now(), m.GetRollouts())
	if len(m.GetDiffering()) == 0 {
		return nil
	}
	toSend := c.newerRecords(m.GetDiffering(), m.GetRecords())
	c.merge(m.GetRecords())
	for len(toSend) > 0 {
		n := min(recordsPerMessage, len(toSend))
		_, err := c.transport.Request(ctx, address, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{
			From: c.members.self, Version: toWireVersion(c.board.ActiveVersion()), Updates: membership.MembersToWire(c.now(), toSend[:n]),
		}}})
		if err != nil {
			return errors.Wrap(err, "exchange")
		}
		toSend = toSend[n:]
	}
	return nil
}

// newerRecords returns the records of the given failure domains that the other node lacks, or has with a lower
// incarnation or another state.
func (c *membershipController) newerRecords(domains []string, theirs []*wire.Member) []membership.Member {
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

// answerExchange returns the records of the failure domains that differ, and the crash reports if they differ.
func (c *membershipController) answerExchange(m *wire.Exchange) *wire.ExchangeReply {
	if from, ok := c.members.member(m.GetFrom()); ok {
		crossDomain := from.FailureDomain() != c.members.selfRecord().FailureDomain()
		c.configuration.observeVersion(m.GetVersion(), from.PeerAddress(), crossDomain)
	}
	reply := &wire.ExchangeReply{
		Version: toWireVersion(c.board.ActiveVersion()), Quarantine: c.quarantine.updateFor(m.GetQuarantineDigest()),
	}
	if m.GetRolloutDigest() != c.rollouts.digest() {
		reply.Rollouts = c.rollouts.records(c.now())
	}
	reply.Differing = c.members.digest().Differing(membership.DigestFromWire(m.GetDigests()))
	if len(reply.GetDiffering()) > 0 {
		reply.Records = membership.MembersToWire(c.now(), c.members.records(reply.GetDiffering()))
	}
	return reply
}

// join requests all members from a node and merges them. The reply has the version of that node and the highest version
// it knows.
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

// answerJoin merges the record of a starting node and returns all members, with the record of the node's earlier process
// if there is one. The starting node broadcasts its record itself.
func (c *membershipController) answerJoin(m *wire.Join) (*wire.JoinReply, error) {
	records := c.members.records(nil)
	c.merge([]*wire.Member{m.GetSelf()})
	data, err := proto.Marshal(&wire.MemberUpdate{Records: membership.MembersToWire(c.now(), records)})
	if err != nil {
		return nil, errors.Wrap(err, "answer join")
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, errors.Wrap(err, "answer join")
	}
	return &wire.JoinReply{
		Version: toWireVersion(c.board.ActiveVersion()), Members: compressed, HighestSeen: c.board.HighestNumber(),
	}, nil
}

// leave broadcasts that this node is leaving.
func (c *membershipController) leave() {
	c.leaving.Store(true)
	c.announceSelf(func(m *membership.Member) { m.SetLeft() })
}

// jittered returns a random duration between 0.75 and 1.25 times d, so that nodes that start together do not stay
// synchronized.
func (c *membershipController) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

func compress(data []byte) ([]byte, error) {
	// These options use 0.3 MB per encoder instead of 1.7 MB at the default level, which matters when many nodes join
	// at once.
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
