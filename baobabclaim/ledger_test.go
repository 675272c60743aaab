package baobabclaim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockingStore holds each commit until it is opened.
type blockingStore struct {
	*fakeStore
	entered chan struct{}
	open    chan struct{}
}

func newBlockingStore() *blockingStore {
	return &blockingStore{fakeStore: newFakeStore(), entered: make(chan struct{}, 100), open: make(chan struct{})}
}

func (s *blockingStore) Commit(ctx context.Context, steps []Step) (uint64, error) {
	s.entered <- struct{}{}
	<-s.open
	return s.fakeStore.Commit(ctx, steps)
}

func closeLedger(t *testing.T, l *Ledger) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Errorf("Close: %v", err)
	}
}

func kindOf(err error) Kind {
	var failure *Error
	if !errors.As(err, &failure) {
		return ""
	}
	return failure.Kind()
}

// TestBatchConflict guards against a conflict on one row that fails the other claims of its transaction.
func TestBatchConflict(t *testing.T) {
	for _, silent := range []bool{false, true} {
		store := newFakeStore()
		store.silent = silent
		other := NewLedger(store, WithBatch(0, 1))
		l := NewLedger(store, WithBatch(50*time.Millisecond, 20), WithTimeLimit(time.Minute))
		const taken, all = 3, 20
		for i := range taken {
			if _, err := other.Claim(t.Context(), testEpoch, machineKey(i), machineDigest(0)); err != nil {
				t.Fatalf("Claim of a free key: %v", err)
			}
		}
		store.commits, store.mostSteps = 0, 0
		var wg sync.WaitGroup
		for i := range all {
			wg.Go(func() {
				result, err := l.Claim(t.Context(), testEpoch, machineKey(i), machineDigest(0))
				_, granted := result.(Granted)
				if err != nil || granted != (i >= taken) {
					t.Errorf("Silent %v: Claim of key %d = %#v, %v", silent, i, result, err)
				}
			})
		}
		wg.Wait()
		if store.mostSteps < 2 || (!silent && store.commits >= all) {
			t.Errorf("Silent %v: %d commits of at most %d steps, want batches", silent, store.commits, store.mostSteps)
		}
		closeLedger(t, l)
		closeLedger(t, other)
	}
}

// TestClaimBounds guards against claims that pile up on a slow store, and against a key that stays blocked because
// its claim was given up before the store answered.
func TestClaimBounds(t *testing.T) {
	store := newBlockingStore()
	l := NewLedger(store, WithInFlight(1), WithBatch(time.Millisecond, 10), WithSweepInterval(0))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := l.Claim(ctx, testEpoch, machineKey(0), machineDigest(0))
		ended <- err
	}()
	<-store.entered
	if _, err := l.Claim(t.Context(), testEpoch, machineKey(1), machineDigest(0)); kindOf(err) != KindBusy {
		t.Errorf("Claim beyond the bound: %v, want busy", err)
	}
	store.setGetFails(true)
	cancel()
	if err := <-ended; kindOf(err) != KindUnavailable || l.Doubts() != 1 {
		t.Errorf("Claim given up: %v with %d doubts, want unavailable with 1", err, l.Doubts())
	}
	store.setGetFails(false)
	close(store.open)
	for deadline := time.Now().Add(30 * time.Second); store.len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("Late write not applied in time")
		}
	}
	now := testEpoch
	for l.Doubts() > 0 {
		now = now.Add(mostDoubtWait)
		l.Sweep(t.Context(), now)
	}
	if n := store.len(); n != 0 {
		t.Errorf("%d rows left after the doubt ended, want none", n)
	}
	closeLedger(t, l)
	if _, err := l.Claim(t.Context(), testEpoch, machineKey(2), machineDigest(0)); kindOf(err) != KindUnavailable {
		t.Errorf("Claim after Close: %v, want unavailable", err)
	}
}

// TestRepeatedKey guards the answers to a key that is used again.
func TestRepeatedKey(t *testing.T) {
	store := newFakeStore()
	l := NewLedger(store, WithBatch(0, 1))
	defer closeLedger(t, l)
	claim := func(now time.Time, request int) Result {
		t.Helper()
		result, err := l.Claim(t.Context(), now, machineKey(0), machineDigest(request))
		if err != nil {
			t.Fatalf("Claim: %v", err)
		}
		return result
	}
	first := claim(testEpoch, 0).(Granted)
	if r, ok := claim(testEpoch.Add(time.Second), 0).(InProgress); !ok || !r.Since().Equal(testEpoch) {
		t.Errorf("Claim while in progress = %#v, want InProgress since the first claim", r)
	}
	if r, ok := claim(testEpoch, 1).(Mismatch); !ok {
		t.Errorf("Claim for another request = %#v, want Mismatch", r)
	}
	header := http.Header{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}, "Price-Total": {"40"}}
	if err := l.Finish(t.Context(), testEpoch, first, NewRecord(201, header, []byte("done"))); err != nil {
		t.Fatalf("Finish: %v", err)
	}
	r := claim(testEpoch.Add(23*time.Hour), 0).(Finished).Record()
	if r.Status() != 201 || string(r.Body()) != "done" || !r.Complete() || r.Header().Get("Content-Type") != "text/plain" {
		t.Errorf("Record = %#v, want the answer", r)
	}
	if r.Header().Get("Price-Total") != "40" {
		t.Error("Record lacks a header field of the answer")
	}
	if r.Header().Get("Set-Cookie") != "" {
		t.Error("Record holds a header field that must not be recorded")
	}
	second := claim(testEpoch.Add(24*time.Hour), 1).(Granted)
	if err := l.Release(t.Context(), testEpoch, first); kindOf(err) != KindStale {
		t.Errorf("Release by the expired holder: %v, want stale", err)
	}
	large := NewRecord(200, header, []byte(strings.Repeat("x", maxRecordedBody+1)))
	if err := l.Finish(t.Context(), testEpoch, second, large); err != nil {
		t.Fatalf("Finish: %v", err)
	}
	if r := claim(testEpoch.Add(25*time.Hour), 1).(Finished).Record(); r.Complete() || r.Status() != 200 {
		t.Errorf("Record of a large answer = %d, complete %v, want the status alone", r.Status(), r.Complete())
	}
}

// TestKeysStayApart guards against two callers that share a row.
func TestKeysStayApart(t *testing.T) {
	keys := []Key{NewKey("s", "a/b", "c"), NewKey("s", "a", "b/c"), NewKey("s/a", "b", "c"), NewKey("s", "a%2Fb", "c")}
	rows := map[string]Key{}
	for _, k := range keys {
		if other, ok := rows[k.row()]; ok {
			t.Errorf("Keys %v and %v share row %s", k, other, k.row())
		}
		rows[k.row()] = k
	}
}

// TestMalformedRow guards against a grant of a key whose row cannot be read.
func TestMalformedRow(t *testing.T) {
	for i, value := range []string{"", "{", `{"state":"other"}`, `{"state":"running","request_digest":"00"}`} {
		store := newFakeStore()
		l := NewLedger(store, WithBatch(0, 1))
		key := NewKey("s", "c", fmt.Sprint(i))
		store.rows[key.row()] = NewRow(key.row(), []byte(value), 1)
		if result, err := l.Claim(t.Context(), testEpoch, key, Digest{}); kindOf(err) != KindMalformed {
			t.Errorf("Claim over %q = %v, %v, want malformed", value, result, err)
		}
		closeLedger(t, l)
	}
}
