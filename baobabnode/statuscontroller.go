package baobabnode

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	operator "github.com/baobabdale/baobabdale/baobaboperator"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// statusTimeout bounds the question to one node.
	statusTimeout = time.Second
	// statusDomainTimeout bounds the question to a relay, which asks all nodes of its failure domain.
	statusDomainTimeout = 3 * time.Second
	// statusConcurrency is how many nodes a relay asks at the same time.
	statusConcurrency = 32
	// statusRelays is how many members of a failure domain are tried as relays.
	statusRelays = 3
	// statusPurpose ranks the relays.
	statusPurpose = "status"
)

// A statusController gathers the status of all nodes: one relay per failure domain asks its members.
type statusController struct {
	board     *blackboard.Board
	members   *members
	admitter  *Admitter
	counters  *counters
	refusals  func() map[string]uint64 // What callers of this node were refused, by reason.
	transport *peer.Transport
	now       func() time.Time
}

// own returns the status of this node.
func (c *statusController) own() *wire.NodeStatus {
	now := c.now()
	self := c.members.selfRecord()
	s := &wire.NodeStatus{
		Id:            self.ID(),
		FailureDomain: self.FailureDomain(),
		State:         string(self.State()),
		Version:       toWireVersion(c.board.Version()),
		Endpoint:      self.Wire(now).GetEndpoint(),
		Load:          toWireLoad(c.admitter.Load(now)),
		Refusals:      c.refusals(),
		Retries:       c.counters.counts(),
	}
	if f := c.board.InForce(); f != nil {
		s.InForceMs = now.Sub(f.Since()).Milliseconds()
	}
	if r := c.board.Rejected(); r != nil {
		s.Rejected = toWireVersion(r.Version())
		s.RejectedReason = r.Reason()
		s.RejectedMs = now.Sub(r.At()).Milliseconds()
	}
	return s
}

// answer returns the status of this node, or of all members of a failure domain.
func (c *statusController) answer(ctx context.Context, m *wire.StatusRequest) *wire.StatusReply {
	if m.GetFailureDomain() == "" {
		return &wire.StatusReply{Nodes: []*wire.NodeStatus{c.own()}}
	}
	return &wire.StatusReply{Nodes: c.domain(ctx, m.GetFailureDomain())}
}

// gather returns the status of all members. Those that are dead or have left are not asked.
func (c *statusController) gather(ctx context.Context) []*wire.NodeStatus {
	own := c.members.selfRecord().FailureDomain()
	var (
		mu   sync.Mutex
		list []*wire.NodeStatus
		wg   sync.WaitGroup
	)
	for _, domain := range c.members.domains() {
		wg.Go(func() {
			var nodes []*wire.NodeStatus
			if domain == own {
				nodes = c.domain(ctx, domain)
			} else {
				nodes = c.throughRelay(ctx, domain)
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, nodes...)
		})
	}
	wg.Wait()
	for _, m := range c.members.records(nil) {
		if !m.State().Live() {
			list = append(list, unreachableStatus(m, ""))
		}
	}
	return list
}

// throughRelay asks one member of a failure domain for all of them.
func (c *statusController) throughRelay(ctx context.Context, domain string) []*wire.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusDomainTimeout)
	defer cancel()
	list := c.members.ranked(statusPurpose, domain)
	for i := range min(statusRelays, len(list)) {
		reply, err := c.transport.Request(ctx, list[i].PeerAddress(), &wire.Envelope{Body: &wire.Envelope_StatusRequest{
			StatusRequest: &wire.StatusRequest{FailureDomain: domain},
		}})
		if err == nil {
			return reply.GetStatusReply().GetNodes()
		}
	}
	nodes := make([]*wire.NodeStatus, 0, len(list))
	for _, m := range list {
		nodes = append(nodes, unreachableStatus(m, "failure domain "+domain+" is unreachable"))
	}
	return nodes
}

// domain asks all members of a failure domain.
func (c *statusController) domain(ctx context.Context, domain string) []*wire.NodeStatus {
	list := c.members.ranked(statusPurpose, domain)
	nodes := make([]*wire.NodeStatus, len(list))
	var group errgroup.Group
	group.SetLimit(statusConcurrency)
	for i, m := range list {
		group.Go(func() error {
			nodes[i] = c.ask(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	return nodes
}

func (c *statusController) ask(ctx context.Context, m membership.Member) *wire.NodeStatus {
	if m.ID() == c.members.self {
		return c.own()
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := c.transport.Request(ctx, m.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_StatusRequest{
		StatusRequest: &wire.StatusRequest{},
	}})
	if err != nil {
		return unreachableStatus(m, err.Error())
	}
	if len(reply.GetStatusReply().GetNodes()) != 1 {
		return unreachableStatus(m, "malformed status")
	}
	return reply.GetStatusReply().GetNodes()[0]
}

func unreachableStatus(m membership.Member, reason string) *wire.NodeStatus {
	return &wire.NodeStatus{
		Id: m.ID(), FailureDomain: m.FailureDomain(), State: string(m.State()), Unreachable: reason,
	}
}

// toReport converts the status of a node for operators.
func toReport(s *wire.NodeStatus) operator.NodeReport {
	return operator.NodeReport{
		ID:             s.GetId(),
		FailureDomain:  s.GetFailureDomain(),
		State:          s.GetState(),
		Version:        toOperatorVersion(s.GetVersion()),
		InForce:        time.Duration(s.GetInForceMs()) * time.Millisecond,
		Rejected:       toOperatorVersion(s.GetRejected()),
		RejectedReason: s.GetRejectedReason(),
		RejectedAge:    time.Duration(s.GetRejectedMs()) * time.Millisecond,
		Service:        s.GetEndpoint().GetService(),
		Upstream:       s.GetEndpoint().GetUpstreamId(),
		EndpointState:  s.GetEndpoint().GetState(),
		Refusals:       s.GetRefusals(),
		Retries:        s.GetRetries(),
		Unreachable:    s.GetUnreachable(),
	}
}
