package baobabnode

import (
	"context"
	"math/rand/v2"
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
	// broadcastFanout is the number of children of a node. At 167 nodes per failure domain the tree has depth 4.
	broadcastFanout = 4
	// broadcastTimeout bounds one message; after it another member of the range takes over.
	broadcastTimeout = 500 * time.Millisecond
	// broadcastTries is how many members of a range are tried. What is missed is repaired by exchanges.
	broadcastTries = 4
)

// A broadcaster spreads updates: one message to each other failure domain, and a tree over hash ranges inside each.
type broadcaster struct {
	members   *members
	transport *peer.Transport
	tomb      *tomb.Tomb
	logger    *log.Logger
}

// spread sends an update of this node to all members.
func (b *broadcaster) spread(m *wire.Broadcast) {
	b.spreadHere(m)
	own := b.members.selfRecord().FailureDomain()
	for _, domain := range b.members.domains() {
		if domain != own {
			b.spawn(func() { b.sendToDomain(proto.CloneOf(m), domain) })
		}
	}
}

// spreadHere sends an update to all members of the own failure domain.
func (b *broadcaster) spreadHere(m *wire.Broadcast) {
	self := b.members.selfRecord()
	m.Id = strconv.FormatUint(rand.Uint64(), 36)
	m.Origin = self.ID()
	b.forward(m, membership.WholeRange(self.FailureDomain()))
}

// receive passes a broadcast on to the part of the ring that it names.
func (b *broadcaster) receive(m *wire.Broadcast) {
	b.forward(m, membership.NewRange(m.GetFailureDomain(), m.GetRangeStart(), m.GetRangeEnd()))
}

func (b *broadcaster) forward(m *wire.Broadcast, r membership.Range) {
	var branches []membership.Branch
	b.members.do(func(t *membership.Table) []membership.Change {
		branches = t.Children(r, broadcastFanout)
		return nil
	})
	for _, branch := range branches {
		b.spawn(func() { b.sendToBranch(proto.CloneOf(m), branch) })
	}
}

func (b *broadcaster) sendToBranch(m *wire.Broadcast, branch membership.Branch) {
	tried := map[string]bool{}
	for range broadcastTries {
		child := branch.Child()
		tried[child.ID()] = true
		if b.send(m, child, branch.Range()) {
			return
		}
		ok := false
		b.members.do(func(t *membership.Table) []membership.Change {
			branch, ok = t.TakeOver(branch, func(id string) bool { return tried[id] })
			return nil
		})
		if !ok {
			return
		}
	}
}

// sendToDomain gives the update to one member of another failure domain, which spreads it there.
func (b *broadcaster) sendToDomain(m *wire.Broadcast, domain string) {
	list := b.members.ranked(m.GetId(), domain)
	for i := range min(broadcastTries, len(list)) {
		if b.send(m, list[i], membership.WholeRange(domain)) {
			return
		}
	}
	b.logger.Debug("broadcast did not reach failure domain", "failure_domain", domain)
}

func (b *broadcaster) send(m *wire.Broadcast, to membership.Member, r membership.Range) bool {
	m.FailureDomain, m.RangeStart, m.RangeEnd = r.Domain(), r.Start(), r.End()
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), broadcastTimeout)
	defer cancel()
	_, err := b.transport.Request(ctx, to.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_Broadcast{Broadcast: m}})
	if err != nil {
		b.logger.Debug("broadcast not received", "member", to.ID(), "err", err)
	}
	return err == nil
}

func (b *broadcaster) spawn(f func()) {
	if !b.tomb.Alive() {
		return
	}
	b.tomb.Go(func() error {
		f()
		return nil
	})
}
