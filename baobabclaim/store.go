package baobabclaim

import "context"

// A Store is the part of the platform's table service that a Ledger uses. Failed commits return a *StoreError.
type Store interface {
	// Get returns a row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Commit applies all writes or none and returns the revision of the rows written.
	Commit(ctx context.Context, writes []ConditionalWrite) (revision uint64, err error)
}
