package baobabrelease

import (
	"context"
	"errors"
	"testing"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	emulator "github.com/baobabdale/baobabdale/baobabemulator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// hookedStore runs a hook just before the next transaction that moves the head, loses its response, or holds it back.
type hookedStore struct {
	platform.Store
	beforeHeadCommit func()
	loseHeadResponse bool
	holdHeadCommit   bool
	held             []platform.Transaction
}

func (s *hookedStore) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	movesHead := false
	for _, w := range tx.Writes() {
		movesHead = movesHead || w.Key() == headKey
	}
	if movesHead && s.beforeHeadCommit != nil {
		hook := s.beforeHeadCommit
		s.beforeHeadCommit = nil
		hook()
	}
	if movesHead && s.holdHeadCommit {
		s.holdHeadCommit = false
		s.held = append(s.held, tx)
		return 0, platform.NewError("commit", platform.KindUnknownOutcome, errors.New("held back"))
	}
	revision, err := s.Store.Commit(ctx, tx)
	if movesHead && s.loseHeadResponse {
		s.loseHeadResponse = false
		return 0, platform.NewError("commit", platform.KindUnknownOutcome, errors.New("response lost"))
	}
	return revision, err
}

// commitHeld commits the transactions that were held back, as if a slow network had delayed them.
func (s *hookedStore) commitHeld(ctx context.Context) {
	for _, tx := range s.held {
		// The transaction may fail; the test checks the resulting state.
		_, _ = s.Store.Commit(ctx, tx)
	}
	s.held = nil
}

// newRepositories returns the repositories of two operators on one store.
func newRepositories() (*emulator.PlatformMemoryStore, [2]*hookedStore, [2]*Repository) {
	memory := emulator.NewPlatformMemoryStore()
	var stores [2]*hookedStore
	var repositories [2]*Repository
	for i := range repositories {
		stores[i] = &hookedStore{Store: memory}
		repositories[i] = NewRepository(stores[i], WithRetryDelays(0, 0, 0))
	}
	return memory, stores, repositories
}

func mustSetEdit(t testing.TB, r *Repository, kind, name, text string, expected Revision) Edit {
	t.Helper()
	e, err := r.SetEdit(context.Background(), kind, name, []byte(text), expected)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func mustSetFaults(t interface{ Fatal(...any) }, s *emulator.PlatformMemoryStore, f emulator.PlatformFaults) {
	if err := s.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

var anyDigest configuration.Digest
