package baobabblackboard

import (
	"time"

	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// An Upstream is the upstream on this VM as announced, with the means to reach it. It is immutable.
type Upstream struct {
	announcement upstream.Announcement
	state        upstream.State // As announced, or failed when heartbeats are missing.
	client       *upstream.Client
	evidence     *upstream.HealthTracker
}

// NewUpstream returns an upstream.
func NewUpstream(a upstream.Announcement, state upstream.State, client *upstream.Client, evidence *upstream.HealthTracker) *Upstream {
	return &Upstream{announcement: a, state: state, client: client, evidence: evidence}
}

// Announcement returns what the upstream last said about itself.
func (u *Upstream) Announcement() upstream.Announcement { return u.announcement }

// ID returns the id of the upstream process.
func (u *Upstream) ID() string { return u.announcement.UpstreamID() }

// Service returns the service that the upstream serves.
func (u *Upstream) Service() string { return u.announcement.Service() }

// Slots returns how many calls the upstream runs at the same time.
func (u *Upstream) Slots() int { return u.announcement.Slots() }

// Connections returns how many connections the upstream accepts.
func (u *Upstream) Connections() int { return u.announcement.Connections() }

// Labels returns the labels that the upstream announced.
func (u *Upstream) Labels() map[string]string { return u.announcement.Labels() }

// StartedAt returns when the upstream started, on this node's clock.
func (u *Upstream) StartedAt() time.Time { return u.announcement.StartedAt() }

// Address returns where the upstream takes calls.
func (u *Upstream) Address() string { return u.announcement.Address() }

// State returns the state.
func (u *Upstream) State() upstream.State { return u.state }

// TakesCalls reports whether the upstream can be given new calls.
func (u *Upstream) TakesCalls() bool { return u.state.TakesCalls() }

// Client returns the client of the upstream.
func (u *Upstream) Client() *upstream.Client { return u.client }

// Evidence returns what live calls and probes say about the upstream.
func (u *Upstream) Evidence() *upstream.HealthTracker { return u.evidence }
