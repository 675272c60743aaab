package baobabblackboard

import (
	"time"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
)

// A Rejection is a version that this node refused to put in force, with the reason. It is immutable.
type Rejection struct {
	version    configuration.Version
	reason     string
	rejectedAt time.Time
}

// NewRejection returns the rejection of a version.
func NewRejection(v configuration.Version, reason string, at time.Time) *Rejection {
	return &Rejection{version: v, reason: reason, rejectedAt: at}
}

// Version returns the rejected version.
func (r *Rejection) Version() configuration.Version { return r.version }

// Reason returns why the version was rejected.
func (r *Rejection) Reason() string { return r.reason }

// RejectedAt returns when the version was rejected.
func (r *Rejection) RejectedAt() time.Time { return r.rejectedAt }
