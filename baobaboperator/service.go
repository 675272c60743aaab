package baobaboperator

import (
	"context"
	"time"
)

// A Service is the node behind the operator API. Its errors are *Error values; any other error counts as ErrorInternal.
// A write that may have been applied returns ErrorUnknownOutcome.
type Service interface {
	// ListResources returns the resources of a kind, or of all kinds for an empty kind, sorted by kind and name.
	ListResources(ctx context.Context, kind Kind) ([]Resource, error)
	// GetResource returns a resource, or ErrorNotFound.
	GetResource(ctx context.Context, kind Kind, name string) (Resource, error)
	// SetResource writes a resource if it has the expected revision; 0 means that it must not exist. Otherwise it
	// returns ErrorConflict with the current resource. A text that is invalid by itself is ErrorRejected.
	SetResource(ctx context.Context, now time.Time, kind Kind, name string, text []byte,
		expectedRevision uint64) (Resource, error)
	// DeleteResource deletes a resource if it has the expected revision. Otherwise it returns ErrorConflict or
	// ErrorNotFound.
	DeleteResource(ctx context.Context, now time.Time, kind Kind, name string, expectedRevision uint64) error
	// Diff compares the candidate with the version in force at this node.
	Diff(ctx context.Context) (Diff, error)
	// Accept makes the candidate the next version. If the operation id was used for an earlier accept, it returns the
	// version of that accept and changes nothing. An expected digest that is not empty and differs from the digest of
	// the candidate is ErrorConflict. An invalid candidate is ErrorRejected with its problems.
	Accept(ctx context.Context, now time.Time, operationID, expectedDigest string) (Version, error)
	// Status queries the nodes of all failure domains; nodes that do not respond in time are reported as unreachable.
	Status(ctx context.Context, now time.Time) (Status, error)
	// Node returns what this node itself has in force. It queries no other node.
	Node(ctx context.Context, now time.Time) (NodeView, error)
}
