package baobabnode

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// expireInterval is how often missing heartbeats and failed calls of the upstream are looked at.
const expireInterval = 250 * time.Millisecond

// An upstreamController follows the announcements of the upstream on this VM. It owns the upstream on the blackboard
// and the endpoint in the own member record.
type upstreamController struct {
	board      *blackboard.Board
	registry   *upstream.Registry
	gate       *admission.Gate
	membership *membershipController
	client     []upstream.ClientOption
	probes     bool
	now        func() time.Time
	logger     *log.Logger

	prober *upstream.Prober // Of the upstream on the board; nil without one.
}

// run follows the upstream until ctx ends.
func (c *upstreamController) run(ctx context.Context) error {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	defer c.stopProber()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.registry.Expire(c.now())
			c.checkEvidence()
		case <-c.registry.Changed():
			c.update()
		}
	}
}

// update takes the announcement over to the blackboard, the gate and the member record.
func (c *upstreamController) update() {
	a, state, ok := c.registry.Current()
	if !ok {
		c.retire()
		return
	}
	c.set(a, state)
}

// retire stops the calls to an upstream that has left without draining first. Calls in progress go on.
func (c *upstreamController) retire() {
	if u := c.board.Upstream(); u != nil && u.TakesCalls() {
		c.set(u.Announcement(), upstream.StateDraining)
	}
}

// checkEvidence fails an upstream that live calls or probes have found unusable, and brings it back.
func (c *upstreamController) checkEvidence() {
	u := c.board.Upstream()
	if u == nil {
		return
	}
	a, state, ok := c.registry.Current()
	if !ok {
		return
	}
	if state.TakesCalls() && !u.Evidence().Usable(c.now()) {
		state = upstream.StateFailed
	}
	if state != u.State() {
		c.set(a, state)
	}
}

func (c *upstreamController) set(a upstream.Announcement, state upstream.State) {
	old := c.board.Upstream()
	client, evidence := c.reach(old, a)
	u := blackboard.NewUpstream(a, state, client, evidence)
	c.board.SetUpstream(u)
	c.gate.Announce(c.now(), u.Slots(), u.Connections(), u.StartedAt())
	if old != nil && old.State() == state && old.ID() == u.ID() && old.Service() == u.Service() &&
		old.Slots() == u.Slots() && old.Connections() == u.Connections() {
		return
	}
	c.logger.Info("upstream changed", "upstream", u.ID(), "service", u.Service(), "state", string(state))
	c.membership.announceSelf(func(m *membership.Member) {
		m.SetEndpoint(membership.NewEndpoint(u.Service(), u.ID(), uint32(u.Slots()), uint32(u.Connections()), endpointState(state), u.StartedAt()))
		m.SetLabels(u.Labels())
	})
}

// reach returns the client and the evidence of the upstream. Those of the old one are kept while it is the same
// process at the same address.
func (c *upstreamController) reach(old *blackboard.Upstream, a upstream.Announcement) (*upstream.Client, *upstream.Evidence) {
	if old != nil && old.ID() == a.UpstreamID() && old.Address() == a.Address() &&
		old.StartedAt().Equal(a.StartedAt()) && old.Connections() == a.Connections() {
		return old.Client(), old.Evidence()
	}
	c.stopProber()
	if old != nil {
		old.Client().Close()
	}
	evidence := upstream.NewEvidence()
	if c.probes {
		c.prober = upstream.NewProber(a.Address(), func(h upstream.Hint) { evidence.Probe(h.Healthy()) })
	}
	options := append([]upstream.ClientOption{upstream.WithUpstreamID(a.UpstreamID())}, c.client...)
	return upstream.NewClient(a.Address(), a.Connections(), options...), evidence
}

func (c *upstreamController) stopProber() {
	if c.prober == nil {
		return
	}
	c.prober.Stop()
	c.prober = nil
}

func endpointState(s upstream.State) membership.EndpointState {
	switch s {
	case upstream.StateWarming:
		return membership.EndpointWarming
	case upstream.StateReady:
		return membership.EndpointReady
	case upstream.StateDraining:
		return membership.EndpointDraining
	default:
		return membership.EndpointFailed
	}
}
