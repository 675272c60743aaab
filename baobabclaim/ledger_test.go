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

// A blockingStore blocks each commit until unblock is closed.
type blockingStore struct {
	*fakeStore
	started chan struct{}
	unblock chan struct{}
}

func newBlockingStore() *blockingStore {
	return &blockingStore{fakeStore: newFakeStore(), started: make(chan struct{}, 100), unblock: make(chan struct{})}
}

func (s *blockingStore) Commit(ctx context.Context, writes []ConditionalWrite) (uint64, error) {
	s.started <- struct{}{}
	<-s.unblock
	return s.fakeStore.Commit(ctx, writes)
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

// TestBatchConflict guards against a conflict on one row that fails the other claims in the same transaction.
func TestBatchConflict(t *testing.T) {
	for _, hideConflicts := range []bool{false, true} {
		store := newFakeStore()
		store.hideConflicts = hideConflicts
		other := NewLedger(store, WithBatch(0, 1))
		l := NewLedger(store, WithBatch(50*time.Millisecond, 20), WithOperationTimeout(time.Minute))
		const taken, all = 3, 20
		for i := range taken {
			if _, err := other.Claim(t.Context(), testEpoch, testKey(i), testDigest(0)); err != nil {
				t.Fatalf("Claim of a free key: %v", err)
			}
		}
		store.commits, store.maxWrites = 0, 0
		var wg sync.WaitGroup
		for i := range all {
			wg.Go(func() {
				result, err := l.Claim(t.Context(), testEpoch, testKey(i), testDigest(0))
				_, granted := result.(Granted)
				if err != nil || granted != (i >= taken) {
					t.Errorf("hideConflicts=%v: Claim of key %d = %#v, %v", hideConflicts, i, result, err)
				}
			})
		}
		wg.Wait()
		if store.maxWrites < 2 || (!hideConflicts && store.commits >= all) {
			t.Errorf("hideConflicts=%v: %d commits of at most %d writes, want batches",
				hideConflicts, store.commits, store.maxWrites)
		}
		closeLedger(t, l)
		closeLedger(t, other)
	}
}

// TestClaimLimits guards against an unbounded number of claims on a slow store, and against a key that stays in
// progress because its claim was cancelled before the store responded.
func TestClaimLimits(t *testing.T) {
	store := newBlockingStore()
	l := NewLedger(store, WithMaxInFlight(1), WithBatch(time.Millisecond, 10), WithSweepInterval(0))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := l.Claim(ctx, testEpoch, testKey(0), testDigest(0))
		ended <- err
	}()
	<-store.started
	if _, err := l.Claim(t.Context(), testEpoch, testKey(1), testDigest(0)); kindOf(err) != KindBusy {
		t.Errorf("Claim beyond the limit: %v, want busy", err)
	}
	store.setFailGets(true)
	cancel()
	if err := <-ended; kindOf(err) != KindUnavailable || l.OrphanCount() != 1 {
		t.Errorf("Cancelled claim: %v with %d orphans, want unavailable with 1", err, l.OrphanCount())
	}
	store.setFailGets(false)
	close(store.unblock)
	for deadline := time.Now().Add(30 * time.Second); store.len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("Late write not applied in time")
		}
	}
	now := testEpoch
	for l.OrphanCount() > 0 {
		now = now.Add(maxOrphanCheckInterval)
		l.Sweep(t.Context(), now)
	}
	if n := store.len(); n != 0 {
		t.Errorf("%d rows left after the orphan was resolved, want none", n)
	}
	closeLedger(t, l)
	if _, err := l.Claim(t.Context(), testEpoch, testKey(2), testDigest(0)); kindOf(err) != KindUnavailable {
		t.Errorf("Claim after Close: %v, want unavailable", err)
	}
}

// TestRepeatedKey guards against wrong results for a key that is used again: while the claim is in progress, after it
// has finished, for a different request, and after the retention time.
func TestRepeatedKey(t *testing.T) {
	store := newFakeStore()
	l := NewLedger(store, WithBatch(0, 1))
	defer closeLedger(t, l)
	claim := func(now time.Time, request int) Result {
		t.Helper()
		result, err := l.Claim(t.Context(), now, testKey(0), testDigest(request))
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
		t.Errorf("Record = %#v, want the recorded response", r)
	}
	if r.Header().Get("Price-Total") != "40" {
		t.Error("Record lacks a header field of the response")
	}
	if r.Header().Get("Set-Cookie") != "" {
		t.Error("Record holds a header field that must not be recorded")
	}
	second := claim(testEpoch.Add(24*time.Hour), 1).(Granted)
	if err := l.Release(t.Context(), testEpoch, first); kindOf(err) != KindStale {
		t.Errorf("Release by the expired holder: %v, want stale", err)
	}
	large := NewRecord(200, header, []byte(strings.Repeat("x", maxRecordedBodyBytes+1)))
	if err := l.Finish(t.Context(), testEpoch, second, large); err != nil {
		t.Fatalf("Finish: %v", err)
	}
	if r := claim(testEpoch.Add(25*time.Hour), 1).(Finished).Record(); r.Complete() || r.Status() != 200 {
		t.Errorf("Record of a large response = %d, complete %v, want the status only", r.Status(), r.Complete())
	}
}

// TestKeysOfCallersDoNotCollide guards against different keys that share a row, for example those of two callers.
func TestKeysOfCallersDoNotCollide(t *testing.T) {
	keys := []Key{NewKey("s", "a/b", "c"), NewKey("s", "a", "b/c"), NewKey("s/a", "b", "c"), NewKey("s", "a%2Fb", "c")}
	rows := map[string]Key{}
	for _, k := range keys {
		if other, ok := rows[k.rowKey()]; ok {
			t.Errorf("Keys %v and %v share row %s", k, other, k.rowKey())
		}
		rows[k.rowKey()] = k
	}
}

// TestMalformedRow guards against a grant of a key whose row cannot be decoded.
func TestMalformedRow(t *testing.T) {
	for i, value := range []string{"", "{", `{"state":"other"}`, `{"state":"running","request_digest":"00"}`} {
		store := newFakeStore()
		l := NewLedger(store, WithBatch(0, 1))
		key := NewKey("s", "c", fmt.Sprint(i))
		store.rows[key.rowKey()] = NewRow(key.rowKey(), []byte(value), 1)
		if result, err := l.Claim(t.Context(), testEpoch, key, Digest{}); kindOf(err) != KindMalformed {
			t.Errorf("Claim over %q = %v, %v, want malformed", value, result, err)
		}
		closeLedger(t, l)
	}
}
