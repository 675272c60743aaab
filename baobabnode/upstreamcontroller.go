package baobabnode

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/charmbracelet/log"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// upstreamCheckInterval is how often missed heartbeats and the health of the upstream are checked.
const upstreamCheckInterval = 250 * time.Millisecond

// announcedLimitChange is the relative change of an upstream's request limit that is announced to other nodes.
const announcedLimitChange = 0.1

// An upstreamController follows the announcements of the upstream on this VM. It owns the upstream on the blackboard
// and the endpoint in the record of this node.
type upstreamController struct {
	board         *blackboard.Board
	registry      *upstream.Registry
	gate          *admission.Gate
	membership    *membershipController
	clientOptions []upstream.ClientOption
	probes        bool
	now           func() time.Time
	logger        *log.Logger

	prober          *upstream.Prober // Probes the upstream on the blackboard; nil without one.
	announcedNotice upstream.Notice  // In the record of this node.
}

// run follows the upstream until ctx is done.
func (c *upstreamController) run(ctx context.Context) error {
	tick := time.NewTicker(upstreamCheckInterval)
	defer tick.Stop()
	defer c.stopProber()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.registry.Expire(c.now())
			c.checkHealth()
		case <-c.registry.Changed():
			c.syncAnnouncement()
		}
	}
}

// syncAnnouncement applies the current announcement to the blackboard, the gate and the member record.
func (c *upstreamController) syncAnnouncement() {
	a, state, ok := c.registry.Current()
	if !ok {
		c.drainUpstream()
		return
	}
	c.setUpstream(a, state)
}

// drainUpstream stops new calls to an upstream that has left without draining first. Calls in progress continue.
func (c *upstreamController) drainUpstream() {
	if u := c.board.Upstream(); u != nil && u.AcceptsCalls() {
		c.setUpstream(u.Announcement(), upstream.StateDraining)
	}
}

// checkHealth marks the upstream as failed if live calls or probes show that it is unusable, and restores its announced
// state once it is usable again.
func (c *upstreamController) checkHealth() {
	u := c.board.Upstream()
	if u == nil {
		return
	}
	a, state, ok := c.registry.Current()
	if !ok {
		return
	}
	if state.AcceptsCalls() && !u.HealthTracker().Usable(c.now()) {
		state = upstream.StateFailed
	}
	if state != u.State() {
		c.setUpstream(a, state)
	}
}

func (c *upstreamController) setUpstream(a upstream.Announcement, state upstream.State) {
	old := c.board.Upstream()
	client, healthTracker := c.clientFor(old, a)
	u := blackboard.NewUpstream(a, state, client, healthTracker)
	c.board.SetUpstream(u)
	c.gate.Announce(c.now(), u.Slots(), u.Connections(), u.StartedAt())
	notice := c.registry.Notice()
	if limit, ok := notice.RequestLimit(); ok {
		c.gate.SetRequestLimit(c.now(), limit)
	} else {
		c.gate.ClearRequestLimit(c.now())
	}
	if old != nil && old.State() == state && !c.differsFromAnnounced(notice) && old.ID() == u.ID() && old.Service() == u.Service() &&
		old.Slots() == u.Slots() && old.Connections() == u.Connections() && maps.Equal(old.Labels(), u.Labels()) {
		return
	}
	c.announcedNotice = notice
	c.logger.Info("upstream changed", "upstream", u.ID(), "service", u.Service(), "state", string(state))
	c.membership.announceSelf(func(m *membership.Member) {
		m.SetEndpoint(membership.NewEndpoint(u.Service(), u.ID(), uint32(u.Slots()), uint32(u.Connections()),
			endpointState(state), u.StartedAt()).WithNotice(notice.LimitOrNone(), notice.Leaving()))
		m.SetLabels(u.Labels())
	})
}

// differsFromAnnounced reports whether a notice differs from the one in the record of this node by more than a small
// change of the request limit.
func (c *upstreamController) differsFromAnnounced(n upstream.Notice) bool {
	limit, limited := n.RequestLimit()
	announced, wasLimited := c.announcedNotice.RequestLimit()
	return n.Leaving() != c.announcedNotice.Leaving() || limited != wasLimited ||
		math.Abs(limit-announced) > announcedLimitChange*announced
}

// clientFor returns the client and the health tracker for the announced upstream. It reuses those of the old one if it
// is the same process at the same address with the same number of connections.
func (c *upstreamController) clientFor(old *blackboard.Upstream, a upstream.Announcement) (*upstream.Client, *upstream.HealthTracker) {
	if old != nil && old.ID() == a.UpstreamID() && old.Address() == a.Address() &&
		old.StartedAt().Equal(a.StartedAt()) && old.Connections() == a.Connections() {
		return old.Client(), old.HealthTracker()
	}
	c.stopProber()
	if old != nil {
		old.Client().Close()
	}
	healthTracker := upstream.NewHealthTracker()
	if c.probes {
		c.prober = upstream.NewProber(a.Address(), func(r upstream.ProbeResult) { healthTracker.RecordProbe(r.Healthy()) })
	}
	options := append([]upstream.ClientOption{upstream.WithUpstreamID(a.UpstreamID())}, c.clientOptions...)
	return upstream.NewClient(a.Address(), a.Connections(), options...), healthTracker
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
