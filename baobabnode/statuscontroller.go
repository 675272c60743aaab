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
	// statusTimeout bounds the status request to one node.
	statusTimeout = time.Second
	// statusDomainTimeout bounds the status requests for a failure domain through its relays.
	statusDomainTimeout = 3 * time.Second
	// statusConcurrency is how many nodes a relay queries concurrently.
	statusConcurrency = 32
	// statusRelays is how many members of a failure domain are tried as relays.
	statusRelays = 3
	// relayRole is the rendezvous-hash key that elects the status relays.
	relayRole = "status"
)

// A statusController collects the status of all nodes. In each other failure domain, one relay queries the members.
type statusController struct {
	board         *blackboard.Board
	members       *memberTable
	admitter      *Admitter
	retryCounters *retryCounters
	refusals      func() map[string]uint64 // Refused calls of this node's callers, by reason.
	transport     *peer.Transport
	now           func() time.Time
}

// selfStatus returns the status of this node.
func (c *statusController) selfStatus() *wire.NodeStatus {
	now := c.now()
	self := c.members.selfRecord()
	s := &wire.NodeStatus{
		Id:            self.ID(),
		FailureDomain: self.FailureDomain(),
		State:         string(self.State()),
		Version:       toWireVersion(c.board.ActiveVersion()),
		Endpoint:      self.Wire(now).GetEndpoint(),
		Load:          toWireLoad(c.admitter.Load(now)),
		Refusals:      c.refusals(),
		Retries:       c.retryCounters.counts(),
	}
	if active := c.board.ActiveConfiguration(); active != nil {
		s.InForceMs = now.Sub(active.ActiveSince()).Milliseconds()
	}
	if r := c.board.Rejected(); r != nil {
		s.Rejected = toWireVersion(r.Version())
		s.RejectedReason = r.Reason()
		s.RejectedMs = now.Sub(r.RejectedAt()).Milliseconds()
	}
	return s
}

// answer returns the status of this node, or of all members of the requested failure domain.
func (c *statusController) answer(ctx context.Context, m *wire.StatusRequest) *wire.StatusReply {
	if m.GetFailureDomain() == "" {
		return &wire.StatusReply{Nodes: []*wire.NodeStatus{c.selfStatus()}}
	}
	return &wire.StatusReply{Nodes: c.domainStatus(ctx, m.GetFailureDomain())}
}

// allStatuses returns the status of all members. Members that are dead or have left are listed without being queried.
func (c *statusController) allStatuses(ctx context.Context) []*wire.NodeStatus {
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
				nodes = c.domainStatus(ctx, domain)
			} else {
				nodes = c.domainStatusViaRelay(ctx, domain)
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

// domainStatusViaRelay requests the status of all members of a failure domain from one of them.
func (c *statusController) domainStatusViaRelay(ctx context.Context, domain string) []*wire.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusDomainTimeout)
	defer cancel()
	list := c.members.rendezvousOrder(relayRole, domain)
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

// domainStatus queries all members of a failure domain.
func (c *statusController) domainStatus(ctx context.Context, domain string) []*wire.NodeStatus {
	list := c.members.rendezvousOrder(relayRole, domain)
	nodes := make([]*wire.NodeStatus, len(list))
	var group errgroup.Group
	group.SetLimit(statusConcurrency)
	for i, m := range list {
		group.Go(func() error {
			nodes[i] = c.nodeStatus(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	return nodes
}

func (c *statusController) nodeStatus(ctx context.Context, m membership.Member) *wire.NodeStatus {
	if m.ID() == c.members.self {
		return c.selfStatus()
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
		ID:                s.GetId(),
		FailureDomain:     s.GetFailureDomain(),
		State:             s.GetState(),
		Version:           operatorVersionFromWire(s.GetVersion()),
		VersionAge:        time.Duration(s.GetInForceMs()) * time.Millisecond,
		Rejected:          operatorVersionFromWire(s.GetRejected()),
		RejectedReason:    s.GetRejectedReason(),
		RejectedAge:       time.Duration(s.GetRejectedMs()) * time.Millisecond,
		Service:           s.GetEndpoint().GetService(),
		Upstream:          s.GetEndpoint().GetUpstreamId(),
		EndpointState:     s.GetEndpoint().GetState(),
		Refusals:          s.GetRefusals(),
		Retries:           s.GetRetries(),
		UnreachableReason: s.GetUnreachable(),
	}
}
