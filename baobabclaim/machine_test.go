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

// A grantRecord is what the model knows of one grant.
type grantRecord struct {
	ledger   int
	granted  Granted
	released bool // Release was called, whatever it returned.
	tried    bool // Finish was called, whatever it returned.
	finished bool // Finish returned nil.
}

// A claimMachine drives two ledgers on one faulty store and checks every answer against what was granted.
type claimMachine struct {
	store    *fakeStore
	ledgers  [2]*Ledger
	now      time.Time
	grants   map[int][]*grantRecord // By key.
	orphaned bool                   // A ledger stopped with rows in doubt.
}

func (m *claimMachine) newLedger() *Ledger {
	return NewLedger(m.store, WithBatch(0, 1), WithSweepInterval(0))
}

func machineKey(i int) Key { return NewKey("deposits", "c", fmt.Sprint(i)) }

func machineDigest(i int) Digest { return NewDigest("POST", "/deposit", []byte{byte(i)}) }

func (m *claimMachine) claim(t *rapid.T) {
	// Later grants have later times, which finish relies on.
	m.pass(time.Millisecond)
	ledger := rapid.IntRange(0, 1).Draw(t, "ledger")
	key := rapid.IntRange(0, 1).Draw(t, "key")
	request := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "request")
	result, err := m.ledgers[ledger].Claim(context.Background(), m.now, machineKey(key), machineDigest(request))
	if err != nil {
		return
	}
	switch r := result.(type) {
	case Granted:
		for _, g := range m.grants[key] {
			expired := m.now.Sub(g.granted.claimedAt) >= defaultRetention
			if !g.released && !expired {
				t.Fatalf("Granted %s while %s holds the key", r.Attempt(), g.granted.Attempt())
			}
			if g.finished && !expired {
				t.Fatalf("Granted %s after %s finished", r.Attempt(), g.granted.Attempt())
			}
		}
		m.grants[key] = append(m.grants[key], &grantRecord{ledger: ledger, granted: r})
	case Finished:
		if r.Record().Status() != 201 || string(r.Record().Body()) != fmt.Sprint(key) {
			t.Fatalf("Finished with %d %q, want the recorded answer", r.Record().Status(), r.Record().Body())
		}
	}
}

// any draws one of all grants so far, also of holders that act after their key was released or has expired.
func (m *claimMachine) any(t *rapid.T) (int, *grantRecord) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	if len(m.grants[key]) == 0 {
		t.Skip("no grant")
	}
	return key, rapid.SampledFrom(m.grants[key]).Draw(t, "grant")
}

func (m *claimMachine) finish(t *rapid.T) {
	key, g := m.any(t)
	g.tried = true
	record := NewRecord(201, nil, []byte(fmt.Sprint(key)))
	err := m.ledgers[g.ledger].Finish(context.Background(), m.now, g.granted, record)
	if err != nil {
		return
	}
	for _, other := range m.grants[key] {
		if other.granted.claimedAt.After(g.granted.claimedAt) {
			t.Fatalf("Finish of %s succeeded after %s was granted", g.granted.Attempt(), other.granted.Attempt())
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
		t.Fatalf("Release of the finished %s succeeded", g.granted.Attempt())
	}
	if !g.finished && !stale {
		g.released = true
	}
}

// pass moves the clock.
func (m *claimMachine) pass(step time.Duration) {
	m.now = m.now.Add(step)
	m.store.advance(m.now)
}

func (m *claimMachine) advance(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 13 * time.Hour}).Draw(t, "step")
	m.pass(step)
}

// TestLedgerStateMachine guards against two grants of one key without a release in between, under lost and delayed
// answers, late holders, restarts and expiry, and against keys that stay blocked although nobody ran their call.
func TestLedgerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimMachine{store: newFakeStore(), now: testEpoch, grants: map[int][]*grantRecord{}}
		m.store.silent = rapid.Bool().Draw(t, "silent")
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
			"reads":   func(t *rapid.T) { m.store.getFails = faults && rapid.Bool().Draw(t, "fails") },
			"deliver": func(t *rapid.T) {
				if len(m.store.delayed) == 0 {
					t.Skip("nothing delayed")
				}
				m.store.deliver(rapid.IntRange(0, len(m.store.delayed)-1).Draw(t, "transaction"))
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "ledger")
				m.orphaned = m.orphaned || m.ledgers[i].Doubts() > 0
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

// checkReleased lets the store recover and checks that keys whose holders all gave up can be claimed again.
func (m *claimMachine) checkReleased(t *rapid.T) {
	m.store.fault, m.store.getFails = nil, false
	for len(m.store.delayed) > 0 {
		m.store.deliver(0)
	}
	for range 20 {
		m.pass(mostDoubtWait)
		m.sweep()
	}
	if m.orphaned {
		return
	}
	for key := range 2 {
		free := true
		for _, g := range m.grants[key] {
			free = free && g.released && !g.tried
		}
		if !free {
			continue
		}
		result, err := m.ledgers[0].Claim(context.Background(), m.now, machineKey(key), machineDigest(0))
		if _, ok := result.(Granted); !ok {
			t.Fatalf("Claim of a key that all holders released = %#v, %v, want Granted", result, err)
		}
	}
}
