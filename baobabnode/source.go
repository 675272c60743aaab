package baobabnode

import (
	"context"
	"time"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
)

// An OrderSource is a Source that also hands on the operator's roll-out orders.
type OrderSource interface {
	Source
	// FollowOrders sets the function that gets each order that the source reads, possibly several times. It is called
	// before the first read.
	FollowOrders(observe func(rollout.Order))
}

// A Source provides accepted configuration versions. release.Repository implements it.
type Source interface {
	// Head returns the current version. The result may be stale.
	Head(ctx context.Context) (release.Head, error)
	// Confirm returns the current version without staleness, given the result of Head.
	Confirm(ctx context.Context, h release.Head) (release.Head, error)
	// Load returns the snapshot that a head refers to.
	Load(ctx context.Context, h release.Head) (*configuration.Snapshot, error)
}

// A Watcher is a Source that reports changes, so that the head need not be polled.
type Watcher interface {
	Source
	// Watch blocks until the head has changed since the last call and returns it. If nothing changes, it returns the
	// known head after the given wait or earlier. It fails soon after the wait if the source does not respond.
	Watch(ctx context.Context, wait time.Duration) (release.Head, error)
	// Proof returns the newest proof that the responses of the source hold, and whether there is one.
	Proof() (account.Proof, bool)
	// Clock relates the clock of the source to that of this VM. It knows nothing if the source names no time.
	Clock() *release.SourceClock
}
