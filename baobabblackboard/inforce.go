package baobabblackboard

import (
	"time"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
)

// InForce is the configuration in force at this node. It is immutable.
type InForce struct {
	snapshot *configuration.Snapshot
	view     *configuration.View // Built from snapshot for this node's labels.
	since    time.Time
}

// NewInForce returns a configuration in force since a time.
func NewInForce(s *configuration.Snapshot, v *configuration.View, since time.Time) *InForce {
	return &InForce{snapshot: s, view: v, since: since}
}

// Snapshot returns the whole version.
func (f *InForce) Snapshot() *configuration.Snapshot { return f.snapshot }

// View returns what the selectors give to this node.
func (f *InForce) View() *configuration.View { return f.view }

// Since returns when the version came into force here.
func (f *InForce) Since() time.Time { return f.since }

// Version returns the version.
func (f *InForce) Version() configuration.Version { return f.snapshot.Version() }

// A Rejection is a version that this node did not put in force. It is immutable.
type Rejection struct {
	version configuration.Version
	reason  string
	at      time.Time
}

// NewRejection returns a rejection.
func NewRejection(v configuration.Version, reason string, at time.Time) *Rejection {
	return &Rejection{version: v, reason: reason, at: at}
}

// Version returns the rejected version.
func (r *Rejection) Version() configuration.Version { return r.version }

// Reason returns why it was rejected.
func (r *Rejection) Reason() string { return r.reason }

// At returns when it was rejected.
func (r *Rejection) At() time.Time { return r.at }
