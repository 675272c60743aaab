package baobabplatform

import "context"

// A Restorable is a Store that tells when it was restored from an older copy and has lost what was written since.
type Restorable interface {
	// Era returns a number that rises with each restore, or 0 if it is unknown yet.
	Era() uint64
}

// A Store holds rows in a transactional table and immutable named objects. Every error is an *Error.
type Store interface {
	// Get returns the row with the key, and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns all rows whose key starts with prefix, from one consistent read, sorted by key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes of the transaction if all of its conditions hold, and nothing otherwise. It
	// returns the table revision of the written rows. Without writes it is a consistent check of the conditions.
	// The transaction is sent at most once.
	Commit(ctx context.Context, tx Transaction) (revision uint64, err error)
	// PutObject stores data under the name. Storing the same data again succeeds; other data is a conflict.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the data stored under the name.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
