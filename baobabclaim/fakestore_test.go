package baobabclaim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// fault is what happens to one commit.
type fault int

const (
	faultNone       fault = iota
	faultNotApplied       // Surely not applied.
	faultLost             // Applied, the answer is lost.
	faultDropped          // Not applied, the outcome is unknown.
	faultDelayed          // Applied later by deliver, the outcome is unknown.
	faultCount
)

// A delayedWrite is a transaction that is applied later.
type delayedWrite struct {
	steps []Step
	sent  time.Time
}

var errFault = errors.New("injected fault")

// fakeStore is a table in memory with injected faults. It is safe for concurrent use.
type fakeStore struct {
	mu        sync.Mutex
	rows      map[string]Row
	revision  uint64
	fault     func() fault // Nil means no faults.
	getFails  bool
	silent    bool      // Conflicts do not name the rows.
	now       time.Time // Set by tests that use delays.
	delayed   []delayedWrite
	commits   int
	mostSteps int
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]Row{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.getFails {
		return Row{}, false, errFault
	}
	r, ok := s.rows[key]
	return r, ok, nil
}

func (s *fakeStore) Commit(_ context.Context, steps []Step) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	s.mostSteps = max(s.mostSteps, len(steps))
	f := faultNone
	if s.fault != nil {
		f = s.fault()
	}
	switch f {
	case faultNotApplied:
		return 0, NewStoreError(StoreNotApplied, nil, errFault)
	case faultDropped:
		return 0, NewStoreError(StoreUnknownOutcome, nil, errFault)
	case faultDelayed:
		s.delayed = append(s.delayed, delayedWrite{steps: steps, sent: s.now})
		return 0, NewStoreError(StoreUnknownOutcome, nil, errFault)
	}
	revision, err := s.apply(steps)
	if f == faultLost {
		return 0, NewStoreError(StoreUnknownOutcome, nil, errFault)
	}
	return revision, err
}

func (s *fakeStore) apply(steps []Step) (uint64, error) {
	var conflicts []string
	for _, x := range steps {
		r, ok := s.rows[x.Key()]
		if x.IfAbsent() == ok || (ok && r.Revision() != x.IfRevision()) {
			conflicts = append(conflicts, x.Key())
		}
	}
	if len(conflicts) > 0 {
		if s.silent {
			conflicts = nil
		}
		return 0, NewStoreError(StoreConflict, conflicts, errFault)
	}
	s.revision++
	for _, x := range steps {
		if x.Delete() {
			delete(s.rows, x.Key())
		} else {
			s.rows[x.Key()] = NewRow(x.Key(), x.Value(), s.revision)
		}
	}
	return s.revision, nil
}

// advance moves the clock; transactions older than doubtWatch are lost.
func (s *fakeStore) advance(now time.Time) {
	s.now = now
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedWrite) bool { return now.Sub(d.sent) >= doubtWatch })
}

// deliver applies one delayed transaction.
func (s *fakeStore) deliver(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steps := s.delayed[i].steps
	s.delayed = slices.Delete(s.delayed, i, i+1)
	_, _ = s.apply(steps)
}

func (s *fakeStore) setGetFails(fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getFails = fails
}

func (s *fakeStore) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}
