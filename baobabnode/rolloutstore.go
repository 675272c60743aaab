package baobabnode

import (
	"context"
	"time"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
)

// RolloutKeyPrefix begins the keys of the rows that hold the stages of roll-outs; the service follows.
const RolloutKeyPrefix = "rollout/"

// A RolloutWriter is a platform.Store that also tells the operator the state of a roll-out in the transaction that writes its
// stage.
type RolloutWriter interface {
	platform.Store
	// WriteRollout writes the row of a stage if it has the given revision; 0 requires that there is none. It returns the
	// new revision. Every error is a *platform.Error.
	WriteRollout(ctx context.Context, key string, value []byte, revision uint64, r rollout.Record) (uint64, error)
}

// A rolloutStore reads and writes the stages of roll-outs.
type rolloutStore struct {
	store platform.Store
	now   func() time.Time
}

// read returns the stage of a service and the revision of its row, or a record without an order and 0. The read may be stale.
func (s rolloutStore) read(ctx context.Context, service string) (rollout.Record, uint64, error) {
	sent := s.now()
	row, ok, err := s.store.Get(ctx, RolloutKeyPrefix+service)
	if err != nil || !ok {
		return rollout.Record{}, 0, err
	}
	r, err := rollout.DecodeRecord(row.Value(), sent)
	return r, row.Revision(), err
}

// write writes a stage if the row has the given revision. It returns the new revision.
func (s rolloutStore) write(ctx context.Context, r rollout.Record, revision uint64) (uint64, error) {
	value, err := r.Encode()
	if err != nil {
		return 0, err
	}
	key := RolloutKeyPrefix + r.Service()
	if w, ok := s.store.(RolloutWriter); ok {
		return w.WriteRollout(ctx, key, value, revision, r)
	}
	return s.store.Commit(ctx, platform.NewTransaction().IfRevision(key, revision).Put(key, value).Build())
}

// confirm checks that the row still has the given revision.
func (s rolloutStore) confirm(ctx context.Context, service string, revision uint64) error {
	_, err := s.store.Commit(ctx, platform.NewTransaction().IfRevision(RolloutKeyPrefix+service, revision).Build())
	return err
}
