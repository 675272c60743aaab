package baobabnode

import (
	"context"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	release "github.com/baobabdale/baobabdale/baobabrelease"
)

// A Source is where accepted versions come from. release.Book is one.
type Source interface {
	// Head returns the version in effect, possibly an older state of it.
	Head(ctx context.Context) (release.Head, error)
	// Confirm returns the version in effect for certain, given what Head has returned.
	Confirm(ctx context.Context, h release.Head) (release.Head, error)
	// Load returns the snapshot at a head.
	Load(ctx context.Context, h release.Head) (*configuration.Snapshot, error)
}

// A Watcher is a Source that tells of changes by itself, so that the head need not be polled.
type Watcher interface {
	Source
	// Watch waits for a change of the head since the last call and returns the head. Without a change it returns the
	// known head after a while.
	Watch(ctx context.Context) (release.Head, error)
}
