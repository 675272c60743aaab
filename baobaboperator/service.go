package baobaboperator

import (
	"context"
	"time"
)

// A Service is the node behind the operators' API. Its errors are *Error values of this package; any other
// error counts as ErrorInternal. A write that may have been applied returns ErrorUnknownOutcome.
type Service interface {
	// ListResources returns the resources of a kind, or of all kinds for an empty kind, sorted by kind and name.
	ListResources(ctx context.Context, kind Kind) ([]Resource, error)
	// GetResource returns a resource, or ErrorNotFound.
	GetResource(ctx context.Context, kind Kind, name string) (Resource, error)
	// SetResource writes a resource if its revision is expect; 0 means that it must be absent. Otherwise it
	// returns ErrorConflict with the current resource. A text that is not valid by itself is ErrorRejected.
	SetResource(ctx context.Context, now time.Time, kind Kind, name string, text []byte, expect uint64) (Resource, error)
	// DeleteResource deletes a resource if its revision is expect, else it returns ErrorConflict or ErrorNotFound.
	DeleteResource(ctx context.Context, now time.Time, kind Kind, name string, expect uint64) error
	// Diff compares the candidate with the version in force at this node.
	Diff(ctx context.Context) (Diff, error)
	// Accept makes the candidate the next version. An operation id that was accepted before returns the version
	// of that time and changes nothing. An expected digest that is not empty and differs from the digest of the
	// candidate is ErrorConflict. An invalid candidate is ErrorRejected with its problems.
	Accept(ctx context.Context, now time.Time, operationID, expectedDigest string) (Version, error)
	// Status asks the nodes of all failure domains; nodes that do not answer in time are reported as unreachable.
	Status(ctx context.Context, now time.Time) (Status, error)
	// Node returns what this node itself has in force. It asks no other node.
	Node(ctx context.Context, now time.Time) (NodeView, error)
}
