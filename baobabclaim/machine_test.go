package baobabclaim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A modelGrant is the model's state of one grant.
type modelGrant struct {
	ledger       int
	granted      Granted
	released     bool // Release was called on an unfinished grant and did not return KindStale.
	finishCalled bool // Finish was called, whatever it returned.
	finished     bool // Finish returned nil.
}

// A claimMachine drives two ledgers on one faulty store and checks every result against the grants so far.
type claimMachine struct {
	store            *fakeStore
	ledgers          [2]*Ledger
	now              time.Time
	grants           map[int][]*modelGrant // By key.
	orphansAbandoned bool                  // A ledger was closed with orphans left.
}

func (m *claimMachine) newLedger() *Ledger {
	return NewLedger(m.store, WithBatch(0, 1), WithSweepInterval(0))
}

func testKey(i int) Key { return NewKey("deposits", "c", fmt.Sprint(i)) }

func testDigest(i int) Digest { return NewDigest("POST", "/deposit", []byte{byte(i)}) }

func (m *claimMachine) claim(t *rapid.T) {
	// Each grant has a later time than those before it, which finish relies on.
	m.advanceClock(time.Millisecond)
	ledger := rapid.IntRange(0, 1).Draw(t, "ledger")
	key := rapid.IntRange(0, 1).Draw(t, "key")
	request := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "request")
	result, err := m.ledgers[ledger].Claim(context.Background(), m.now, testKey(key), testDigest(request))
	if err != nil {
		return
	}
	switch r := result.(type) {
	case Granted:
		for _, g := range m.grants[key] {
			expired := m.now.Sub(g.granted.claimedAt) >= defaultRetention
			if !g.released && !expired {
				t.Fatalf("Granted %s while %s holds the key", r.Token(), g.granted.Token())
			}
			if g.finished && !expired {
				t.Fatalf("Granted %s after %s finished", r.Token(), g.granted.Token())
			}
		}
		m.grants[key] = append(m.grants[key], &modelGrant{ledger: ledger, granted: r})
	case Finished:
		if r.Record().Status() != 201 || string(r.Record().Body()) != fmt.Sprint(key) {
			t.Fatalf("Finished with %d %q, want the recorded response", r.Record().Status(), r.Record().Body())
		}
	}
}

// any draws one of all grants so far, including those of holders whose key was released or has expired.
func (m *claimMachine) any(t *rapid.T) (int, *modelGrant) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	if len(m.grants[key]) == 0 {
		t.Skip("no grant")
	}
	return key, rapid.SampledFrom(m.grants[key]).Draw(t, "grant")
}

func (m *claimMachine) finish(t *rapid.T) {
	key, g := m.any(t)
	g.finishCalled = true
	record := NewRecord(201, nil, []byte(fmt.Sprint(key)))
	err := m.ledgers[g.ledger].Finish(context.Background(), m.now, g.granted, record)
	if err != nil {
		return
	}
	for _, other := range m.grants[key] {
		if other.granted.claimedAt.After(g.granted.claimedAt) {
			t.Fatalf("Finish of %s succeeded after %s was granted", g.granted.Token(), other.granted.Token())
		}
	}
	g.finished = true
}

func (m *claimMachine) release(t *rapid.T) {
	_, g := m.any(t)
	err := m.ledgers[g.ledger].Release(context.Background(), m.now, g.granted)
	var failure *Error
	stale := errors.As(err, &failure) && failure.Kind() == KindStale
	if g.finished && err == nil && m.now.Sub(g.granted.claimedAt) < defaultRetention {
		t.Fatalf("Release of the finished %s succeeded", g.granted.Token())
	}
	if !g.finished && !stale {
		g.released = true
	}
}

// advanceClock advances the clock by a step.
func (m *claimMachine) advanceClock(step time.Duration) {
	m.now = m.now.Add(step)
	m.store.advanceClock(m.now)
}

func (m *claimMachine) advance(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 13 * time.Hour}).Draw(t, "step")
	m.advanceClock(step)
}

// TestLedgerStateMachine guards against two grants of one key without a release in between, under lost and delayed
// writes, late holders, restarts and expiry, and against keys that stay in progress although no node runs their call.
func TestLedgerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimMachine{store: newFakeStore(), now: testEpoch, grants: map[int][]*modelGrant{}}
		m.store.hideConflicts = rapid.Bool().Draw(t, "silent")
		faults := rapid.Bool().Draw(t, "faults")
		m.store.fault = func() fault {
			if !faults {
				return faultNone
			}
			return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
		}
		for i := range m.ledgers {
			m.ledgers[i] = m.newLedger()
		}
		defer func() {
			for _, l := range m.ledgers {
				_ = l.Close()
			}
		}()
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"finish":  m.finish,
			"release": m.release,
			"advance": m.advance,
			"sweep":   func(*rapid.T) { m.sweep() },
			"reads":   func(t *rapid.T) { m.store.failGets = faults && rapid.Bool().Draw(t, "fails") },
			"deliver": func(t *rapid.T) {
				if len(m.store.delayed) == 0 {
					t.Skip("nothing delayed")
				}
				m.store.applyDelayed(rapid.IntRange(0, len(m.store.delayed)-1).Draw(t, "transaction"))
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "ledger")
				m.orphansAbandoned = m.orphansAbandoned || m.ledgers[i].OrphanCount() > 0
				_ = m.ledgers[i].Close()
				m.ledgers[i] = m.newLedger()
			},
		})
		m.checkReleased(t)
	})
}

func (m *claimMachine) sweep() {
	for _, l := range m.ledgers {
		l.Sweep(context.Background(), m.now)
	}
}

// checkReleased lets the store recover and checks that keys that all holders released can be claimed again.
func (m *claimMachine) checkReleased(t *rapid.T) {
	m.store.fault, m.store.failGets = nil, false
	for len(m.store.delayed) > 0 {
		m.store.applyDelayed(0)
	}
	for range 20 {
		m.advanceClock(maxOrphanCheckInterval)
		m.sweep()
	}
	if m.orphansAbandoned {
		return
	}
	for key := range 2 {
		free := true
		for _, g := range m.grants[key] {
			free = free && g.released && !g.finishCalled
		}
		if !free {
			continue
		}
		result, err := m.ledgers[0].Claim(context.Background(), m.now, testKey(key), testDigest(0))
		if _, ok := result.(Granted); !ok {
			t.Fatalf("Claim of a key that all holders released = %#v, %v, want Granted", result, err)
		}
	}
}
