package baobabnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// broadcastFanout is the number of children of a node in the broadcast tree. With 167 nodes per failure domain the
	// tree has depth 4.
	broadcastFanout = 4
	// broadcastTimeout bounds one message. After it another member of the range is tried.
	broadcastTimeout = 500 * time.Millisecond
	// broadcastAttempts is how many members of a range are tried. Exchanges repair missed updates.
	broadcastAttempts = 4
)

// A broadcaster sends updates to all members: one message to each other failure domain, and a tree over hash ranges
// inside each failure domain.
type broadcaster struct {
	members   *memberTable
	transport *peer.Transport
	tomb      *tomb.Tomb
	now       func() time.Time
	logger    *log.Logger
}

// broadcast sends an update that originates at this node to all members.
func (b *broadcaster) broadcast(m *wire.Broadcast) {
	own := b.members.selfRecord().FailureDomain()
	b.broadcastIn(m, slices.DeleteFunc(b.members.domains(), func(d string) bool { return d == own }))
}

// broadcastIn sends an update that originates at this node to all members of its failure domain and of others.
func (b *broadcaster) broadcastIn(m *wire.Broadcast, others []string) {
	b.broadcastInDomain(m)
	for _, domain := range others {
		b.goTracked(func() { b.sendToDomain(proto.CloneOf(m), domain) })
	}
}

// broadcastInDomain sends an update that originates at this node to all members of its failure domain.
func (b *broadcaster) broadcastInDomain(m *wire.Broadcast) {
	self := b.members.selfRecord()
	m.Id = strconv.FormatUint(rand.Uint64(), 36)
	m.Origin = self.ID()
	b.forward(m, membership.FullHashRange(self.FailureDomain()))
}

// relay forwards a received broadcast to the range of the hash ring that it names.
func (b *broadcaster) relay(m *wire.Broadcast) {
	b.forward(m, membership.NewHashRange(m.GetFailureDomain(), m.GetRangeStart(), m.GetRangeEnd()))
}

func (b *broadcaster) forward(m *wire.Broadcast, r membership.HashRange) {
	var branches []membership.Branch
	b.members.withTable(func(t *membership.Table) []membership.Change {
		branches = t.Branches(r, broadcastFanout)
		return nil
	})
	received, age := b.now(), m.GetHead().GetAgeMs()
	for _, branch := range branches {
		b.goTracked(func() { b.sendToBranch(proto.CloneOf(m), branch, received, age) })
	}
}

// sendToBranch sends an update to a member of a branch. The age of a head update is that at the time of receipt and grows
// until it is sent.
func (b *broadcaster) sendToBranch(m *wire.Broadcast, branch membership.Branch, received time.Time, ageMs int64) {
	tried := map[string]bool{}
	for range broadcastAttempts {
		child := branch.Child()
		tried[child.ID()] = true
		if h := m.GetHead(); h != nil {
			h.AgeMs = ageMs + b.now().Sub(received).Milliseconds()
		}
		if b.send(m, child, branch.HashRange()) {
			return
		}
		ok := false
		b.members.withTable(func(t *membership.Table) []membership.Change {
			branch, ok = t.Reassign(branch, func(id string) bool { return tried[id] })
			return nil
		})
		if !ok {
			return
		}
	}
}

// sendToDomain sends the update to one member of another failure domain, which broadcasts it there.
func (b *broadcaster) sendToDomain(m *wire.Broadcast, domain string) {
	list := b.members.rendezvousOrder(m.GetId(), domain)
	for i := range min(broadcastAttempts, len(list)) {
		if b.send(m, list[i], membership.FullHashRange(domain)) {
			return
		}
	}
	b.logger.Debug("broadcast did not reach failure domain", "failure_domain", domain)
}

func (b *broadcaster) send(m *wire.Broadcast, to membership.Member, r membership.HashRange) bool {
	m.FailureDomain, m.RangeStart, m.RangeEnd = r.Domain(), r.Start(), r.End()
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), broadcastTimeout)
	defer cancel()
	_, err := b.transport.Request(ctx, to.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Broadcast{Broadcast: m}})
	if err != nil {
		b.logger.Debug("broadcast not acknowledged", "member", to.ID(), "err", err)
	}
	return err == nil
}

func (b *broadcaster) goTracked(f func()) {
	if !b.tomb.Alive() {
		return
	}
	b.tomb.Go(func() error {
		f()
		return nil
	})
}
