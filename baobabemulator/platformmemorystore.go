package baobabemulator

import (
	"context"

	"github.com/pkg/errors"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// A PlatformMemoryStore is an in-memory platform.Store for unit tests. It supports the same faults as Platform except
// the delay, and has no rate limits.
type PlatformMemoryStore struct {
	table    *PlatformTable
	injector platformFaultInjector
}

var _ platform.Store = (*PlatformMemoryStore)(nil)

// NewPlatformMemoryStore returns an empty store.
func NewPlatformMemoryStore() *PlatformMemoryStore {
	return &PlatformMemoryStore{table: NewPlatformTable()}
}

// SetFaults replaces the faults.
func (s *PlatformMemoryStore) SetFaults(f PlatformFaults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.table.SetStaleReads(f.StaleReads)
	s.injector.set(f)
	return nil
}

// Faults returns the current faults.
func (s *PlatformMemoryStore) Faults() PlatformFaults { return s.injector.get() }

// Get implements platform.Store.
func (s *PlatformMemoryStore) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	if err := s.injectReadFault(ctx, "get"); err != nil {
		return platform.Row{}, false, err
	}
	r, ok := s.table.get(key)
	return r, ok, nil
}

// Scan implements platform.Store.
func (s *PlatformMemoryStore) Scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := s.injectReadFault(ctx, "scan"); err != nil {
		return nil, err
	}
	return s.table.scan(prefix), nil
}

// Commit implements platform.Store.
func (s *PlatformMemoryStore) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	const operation = "commit"
	loseResponse, err := s.injectWriteFault(ctx, operation)
	if err != nil {
		return 0, err
	}
	revision, err := s.table.commit(tx)
	if loseResponse {
		return 0, platformResponseLostError(operation)
	}
	return revision, err
}

// PutObject implements platform.Store.
func (s *PlatformMemoryStore) PutObject(ctx context.Context, name string, data []byte) error {
	const operation = "put object"
	loseResponse, err := s.injectWriteFault(ctx, operation)
	if err != nil {
		return err
	}
	err = s.table.putObject(name, data)
	if loseResponse {
		return platformResponseLostError(operation)
	}
	return err
}

// GetObject implements platform.Store.
func (s *PlatformMemoryStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := s.injectReadFault(ctx, "get object"); err != nil {
		return nil, err
	}
	return s.table.getObject(name)
}

// injectReadFault returns an error if the read must fail.
func (s *PlatformMemoryStore) injectReadFault(ctx context.Context, operation string) error {
	if err := ctx.Err(); err != nil {
		return platform.NewError(operation, platform.KindUnavailable, err)
	}
	if s.injector.nextAction(false) != platformPass {
		return platform.NewError(operation, platform.KindUnavailable, errors.New("injected"))
	}
	return nil
}

// injectWriteFault reports whether the caller must apply the write and lose its response.
func (s *PlatformMemoryStore) injectWriteFault(ctx context.Context, operation string) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, platform.NewError(operation, platform.KindUnavailable, err)
	}
	switch s.injector.nextAction(true) {
	case platformRefuse:
		return false, platform.NewError(operation, platform.KindUnavailable, errors.New("injected"))
	case platformCloseConnection:
		return false, platformResponseLostError(operation)
	case platformLoseResponse:
		return true, nil
	default:
		return false, nil
	}
}

func platformResponseLostError(operation string) error {
	return platform.NewError(operation, platform.KindUnknownOutcome, errors.New("response lost by injection"))
}
