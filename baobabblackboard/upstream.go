package baobabblackboard

import (
	"time"

	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// An Upstream is the announced upstream on this VM, with its client and its health tracker. It is immutable.
type Upstream struct {
	announcement  upstream.Announcement
	state         upstream.State // As announced, or failed when heartbeats are missing.
	client        *upstream.Client
	healthTracker *upstream.HealthTracker
}

// NewUpstream returns an upstream.
func NewUpstream(
	a upstream.Announcement, state upstream.State, client *upstream.Client, healthTracker *upstream.HealthTracker,
) *Upstream {
	return &Upstream{announcement: a, state: state, client: client, healthTracker: healthTracker}
}

// Announcement returns the last announcement of the upstream.
func (u *Upstream) Announcement() upstream.Announcement { return u.announcement }

// ID returns the id of the upstream process.
func (u *Upstream) ID() string { return u.announcement.UpstreamID() }

// Service returns the service that the upstream serves.
func (u *Upstream) Service() string { return u.announcement.Service() }

// Slots returns the number of calls that the upstream processes concurrently.
func (u *Upstream) Slots() int { return u.announcement.Slots() }

// Connections returns the number of connections that the upstream accepts.
func (u *Upstream) Connections() int { return u.announcement.Connections() }

// Labels returns the labels that the upstream announced.
func (u *Upstream) Labels() map[string]string { return u.announcement.Labels() }

// StartedAt returns when the upstream started, on this node's clock.
func (u *Upstream) StartedAt() time.Time { return u.announcement.StartedAt() }

// Address returns the address on which the upstream accepts calls.
func (u *Upstream) Address() string { return u.announcement.Address() }

// State returns the state as announced, or failed when heartbeats are missing.
func (u *Upstream) State() upstream.State { return u.state }

// AcceptsCalls reports whether new calls can be sent to the upstream.
func (u *Upstream) AcceptsCalls() bool { return u.state.AcceptsCalls() }

// Client returns the client of the upstream.
func (u *Upstream) Client() *upstream.Client { return u.client }

// HealthTracker returns the HealthTracker of the upstream, which live calls and probes update.
func (u *Upstream) HealthTracker() *upstream.HealthTracker { return u.healthTracker }
