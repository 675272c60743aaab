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
func (s claimStore) Commit(ctx context.Context, steps []claim.ConditionalWrite) (uint64, error) {
	tx := platform.NewTransaction()
	for _, v := range steps {
		switch {
		case v.IfAbsent():
			tx = tx.IfAbsent(v.Key())
		case v.IfRevision() != 0:
			tx = tx.IfRevision(v.Key(), v.IfRevision())
		}
		if v.Delete() {
			tx = tx.Delete(v.Key())
			continue
		}
		tx = tx.Put(v.Key(), v.Value())
	}
	revision, err := s.store.Commit(ctx, tx.Build())
	if err == nil {
		return revision, nil
	}
	return 0, toStoreError(err, steps)
}

// toStoreError converts a platform error. Only errors after which the write was certainly not applied are converted to
// StoreNotApplied.
func toStoreError(err error, steps []claim.ConditionalWrite) error {
	switch platform.KindOf(err) {
	case platform.KindConflict:
		return claim.NewStoreError(claim.StoreConflict, conflictingKeys(err, steps), err)
	case platform.KindInvalid, platform.KindThrottled, platform.KindUnavailable:
		return claim.NewStoreError(claim.StoreNotApplied, nil, err)
	default:
		return claim.NewStoreError(claim.StoreUnknownOutcome, nil, err)
	}
}

// conflictingKeys returns the keys of the steps whose conditions did not hold.
func conflictingKeys(err error, steps []claim.ConditionalWrite) []string {
	var e *platform.Error
	if !errors.As(err, &e) {
		return nil
	}
	var keys []string
	for _, s := range steps {
		row, exists := e.Row(s.Key())
		satisfied := (s.IfAbsent() && !exists) || (s.IfRevision() != 0 && exists && row.Revision() == s.IfRevision())
		if !satisfied {
			keys = append(keys, s.Key())
		}
	}
	return keys
}
