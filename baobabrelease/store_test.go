package baobabrelease

import (
	"context"
	"errors"
	"testing"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	emulator "github.com/baobabdale/baobabdale/baobabemulator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// hookedStore runs a step just before the next transaction that moves the head, loses its answer, or holds it back.
type hookedStore struct {
	platform.Store
	beforeMove func()
	loseMove   bool
	holdMove   bool
	held       []platform.Transaction
}

func (s *hookedStore) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	moves := false
	for _, w := range tx.Writes() {
		moves = moves || w.Key() == headKey
	}
	if moves && s.beforeMove != nil {
		hook := s.beforeMove
		s.beforeMove = nil
		hook()
	}
	if moves && s.holdMove {
		s.holdMove = false
		s.held = append(s.held, tx)
		return 0, platform.NewError("commit", platform.KindUnknownOutcome, errors.New("held back"))
	}
	revision, err := s.Store.Commit(ctx, tx)
	if moves && s.loseMove {
		s.loseMove = false
		return 0, platform.NewError("commit", platform.KindUnknownOutcome, errors.New("answer lost"))
	}
	return revision, err
}

// release applies the transactions that were held back, as a slow network would.
func (s *hookedStore) release(ctx context.Context) {
	for _, tx := range s.held {
		// Whether it still applies is what the test examines afterwards.
		_, _ = s.Store.Commit(ctx, tx)
	}
	s.held = nil
}

// newBooks returns two operators' books on one store.
func newBooks() (*emulator.PlatformMemoryStore, [2]*hookedStore, [2]*Book) {
	memory := emulator.NewMemoryStore()
	var stores [2]*hookedStore
	var books [2]*Book
	for i := range books {
		stores[i] = &hookedStore{Store: memory}
		books[i] = NewBook(stores[i], WithPauses(0, 0, 0))
	}
	return memory, stores, books
}

func mustSet(t testing.TB, b *Book, kind, name, text string, expect Revision) Edit {
	t.Helper()
	e, err := b.Set(context.Background(), kind, name, []byte(text), expect)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func mustFaults(t interface{ Fatal(...any) }, s *emulator.PlatformMemoryStore, f emulator.PlatformFaults) {
	if err := s.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

var anyDigest configuration.Digest
