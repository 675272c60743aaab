package baobabnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	claim "github.com/baobabdale/baobabdale/baobabclaim"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// TestClaimStoreErrors guards against reporting a write that may have been applied as not applied, which would let a
// call run twice.
func TestClaimStoreErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want claim.StoreErrorKind
	}{
		{platform.NewError("commit", platform.KindUnavailable, nil), claim.StoreNotApplied},
		{platform.NewError("commit", platform.KindThrottled, nil), claim.StoreNotApplied},
		{platform.NewError("commit", platform.KindInvalid, nil), claim.StoreNotApplied},
		{platform.NewError("commit", platform.KindUnknownOutcome, nil), claim.StoreUnknownOutcome},
		{platform.NewConflict("commit", nil), claim.StoreConflict},
		{context.DeadlineExceeded, claim.StoreUnknownOutcome},
		{errors.New("of another type"), claim.StoreUnknownOutcome},
	} {
		var e *claim.StoreError
		if err := toStoreError(c.err, nil); !errors.As(err, &e) || e.Kind() != c.want {
			t.Errorf("%v: %v, want kind %v", c.err, err, c.want)
		}
	}
}

// TestClaimStoreConflicts guards against attributing the conflict of a batch to the wrong claim, because the ledger
// commits the other claims again.
func TestClaimStoreConflicts(t *testing.T) {
	store := &memoryStore{rows: map[string]platform.Row{}}
	writes := claimWrites(t)
	for _, c := range []struct {
		name string
		rows []platform.Row
		want string
	}{
		{"none taken", nil, "[]"},
		{"one taken", []platform.Row{platform.NewRow(writes[1].Key(), nil, 5)}, fmt.Sprint([]string{writes[1].Key()})},
		{"another row", []platform.Row{platform.NewRow("other", nil, 5)}, "[]"},
	} {
		store.err = platform.NewConflict("commit", c.rows)
		_, err := claimStore{store: store}.Commit(t.Context(), writes)
		var e *claim.StoreError
		if !errors.As(err, &e) || fmt.Sprint(e.Conflicts()) != c.want {
			t.Errorf("%s: %v, conflicts %v, want %s", c.name, err, e.Conflicts(), c.want)
		}
	}
}

// claimWrites returns the writes that a ledger commits to claim two keys.
func claimWrites(t *testing.T) []claim.ConditionalWrite {
	t.Helper()
	recorder := &writeRecorder{}
	ledger := claim.NewLedger(recorder, claim.WithBatch(0, 1), claim.WithSweepInterval(0))
	defer func() { _ = ledger.Close() }()
	for _, key := range []string{"a", "b"} {
		if _, err := ledger.Claim(t.Context(), time.Unix(1, 0), claim.NewKey("s", "c", key), claim.NewDigest("POST", "/", nil)); err != nil {
			t.Fatal(err)
		}
	}
	return recorder.writes
}

// A writeRecorder is a claim.Store that records writes without applying them.
type writeRecorder struct{ writes []claim.ConditionalWrite }

func (*writeRecorder) Get(context.Context, string) (claim.Row, bool, error) {
	return claim.Row{}, false, nil
}

func (r *writeRecorder) Commit(_ context.Context, writes []claim.ConditionalWrite) (uint64, error) {
	r.writes = append(r.writes, writes...)
	return uint64(len(r.writes)), nil
}
