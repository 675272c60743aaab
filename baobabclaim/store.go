package baobabclaim

import "context"

// A Store is what a Ledger needs of the platform's table service. Failed commits return a *StoreError.
type Store interface {
	// Get returns the row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Commit applies all steps or none and returns the revision of the rows written.
	Commit(ctx context.Context, steps []Step) (revision uint64, err error)
}
