package baobabclaim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// A fault is a failure that is injected into one commit.
type fault int

const (
	faultNone         fault = iota
	faultNotApplied         // Not applied, and the outcome is known.
	faultResponseLost       // Applied, but the outcome is unknown.
	faultRequestLost        // Not applied, but the outcome is unknown.
	faultDelayed            // Applied later by applyDelayed; the outcome is unknown.
	faultCount
)

// A delayedTransaction is a transaction that is applied later.
type delayedTransaction struct {
	writes []ConditionalWrite
	sentAt time.Time
}

var errFault = errors.New("injected fault")

// A fakeStore is an in-memory table with fault injection. It is safe for concurrent use.
type fakeStore struct {
	mu            sync.Mutex
	rows          map[string]Row
	revision      uint64
	fault         func() fault // Nil means no faults.
	failGets      bool
	hideConflicts bool      // Conflict errors do not name the rows.
	now           time.Time // Set by tests that use delays.
	delayed       []delayedTransaction
	commits       int // Number of calls of Commit.
	maxWrites     int // Maximum number of writes in a transaction.
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]Row{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failGets {
		return Row{}, false, errFault
	}
	r, ok := s.rows[key]
	return r, ok, nil
}

func (s *fakeStore) Commit(_ context.Context, writes []ConditionalWrite) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	s.maxWrites = max(s.maxWrites, len(writes))
	f := faultNone
	if s.fault != nil {
		f = s.fault()
	}
	switch f {
	case faultNotApplied:
		return 0, NewStoreError(StoreNotApplied, nil, errFault)
	case faultRequestLost:
		return 0, NewStoreError(StoreUnknownOutcome, nil, errFault)
	case faultDelayed:
		s.delayed = append(s.delayed, delayedTransaction{writes: writes, sentAt: s.now})
		return 0, NewStoreError(StoreUnknownOutcome, nil, errFault)
	}
	revision, err := s.apply(writes)
	if f == faultResponseLost {
		return 0, NewStoreError(StoreUnknownOutcome, nil, errFault)
	}
	return revision, err
}

func (s *fakeStore) apply(writes []ConditionalWrite) (uint64, error) {
	var conflicts []string
	for _, w := range writes {
		r, ok := s.rows[w.Key()]
		if w.IfAbsent() == ok || (ok && r.Revision() != w.IfRevision()) {
			conflicts = append(conflicts, w.Key())
		}
	}
	if len(conflicts) > 0 {
		if s.hideConflicts {
			conflicts = nil
		}
		return 0, NewStoreError(StoreConflict, conflicts, errFault)
	}
	s.revision++
	for _, w := range writes {
		if w.Delete() {
			delete(s.rows, w.Key())
		} else {
			s.rows[w.Key()] = NewRow(w.Key(), w.Value(), s.revision)
		}
	}
	return s.revision, nil
}

// advanceClock sets the clock and drops delayed transactions older than orphanWatchTime.
func (s *fakeStore) advanceClock(now time.Time) {
	s.now = now
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedTransaction) bool {
		return now.Sub(d.sentAt) >= orphanWatchTime
	})
}

// applyDelayed applies one delayed transaction.
func (s *fakeStore) applyDelayed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.delayed[i].writes
	s.delayed = slices.Delete(s.delayed, i, i+1)
	_, _ = s.apply(writes)
}

func (s *fakeStore) setFailGets(fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failGets = fails
}

func (s *fakeStore) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}
