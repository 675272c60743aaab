package baobabnode

import (
	"context"

	"github.com/pkg/errors"

	claim "github.com/baobabdale/baobabdale/baobabclaim"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// A claimStore implements claim.Store with the platform's table service.
type claimStore struct {
	store platform.Store
}

// Get implements claim.Store.
func (s claimStore) Get(ctx context.Context, key string) (claim.Row, bool, error) {
	r, ok, err := s.store.Get(ctx, key)
	if err != nil || !ok {
		return claim.Row{}, false, err
	}
	return claim.NewRow(r.Key(), r.Value(), r.Revision()), true, nil
}

// Commit implements claim.Store.
func (s claimStore) Commit(ctx context.Context, writes []claim.ConditionalWrite) (uint64, error) {
	tx := platform.NewTransaction()
	for _, w := range writes {
		switch {
		case w.IfAbsent():
			tx = tx.IfAbsent(w.Key())
		case w.IfRevision() != 0:
			tx = tx.IfRevision(w.Key(), w.IfRevision())
		}
		if w.Delete() {
			tx = tx.Delete(w.Key())
			continue
		}
		tx = tx.Put(w.Key(), w.Value())
	}
	revision, err := s.store.Commit(ctx, tx.Build())
	if err == nil {
		return revision, nil
	}
	return 0, toStoreError(err, writes)
}

// toStoreError converts a platform error. Only errors after which the write was certainly not applied are converted to
// StoreNotApplied.
func toStoreError(err error, writes []claim.ConditionalWrite) error {
	switch platform.KindOf(err) {
	case platform.KindConflict:
		return claim.NewStoreError(claim.StoreConflict, conflictingKeys(err, writes), err)
	case platform.KindInvalid, platform.KindThrottled, platform.KindUnavailable:
		return claim.NewStoreError(claim.StoreNotApplied, nil, err)
	default:
		return claim.NewStoreError(claim.StoreUnknownOutcome, nil, err)
	}
}

// conflictingKeys returns the keys of the writes whose conditions did not hold.
func conflictingKeys(err error, writes []claim.ConditionalWrite) []string {
	var e *platform.Error
	if !errors.As(err, &e) {
		return nil
	}
	var keys []string
	for _, w := range writes {
		row, exists := e.Row(w.Key())
		satisfied := (w.IfAbsent() && !exists) || (w.IfRevision() != 0 && exists && row.Revision() == w.IfRevision())
		if !satisfied {
			keys = append(keys, w.Key())
		}
	}
	return keys
}
