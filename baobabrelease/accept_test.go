package baobabrelease

import (
	"context"
	"errors"
	"testing"
	"time"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	emulator "github.com/baobabdale/baobabdale/baobabemulator"
)

var acceptTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func mustAccept(t *testing.T, b *Book, operation string) *configuration.Snapshot {
	t.Helper()
	s, err := b.Accept(context.Background(), acceptTime, operation, anyDigest)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func checkHead(t *testing.T, b *Book, number uint64, operation string) {
	t.Helper()
	h, err := b.Head(context.Background())
	if err != nil || h.Version().Number() != number || h.Operation() != operation {
		t.Errorf("Head() = %+v, %v, want version %d of operation %q", h, err, number, operation)
	}
}

// TestAccept guards against an accept that puts something else into effect than the operator was shown.
func TestAccept(t *testing.T) {
	ctx := context.Background()
	_, _, books := newBooks()
	checkHead(t, books[0], 0, "")
	mustSet(t, books[0], "service", "a", `{}`, 0)
	shown, err := books[0].Compare(ctx)
	if err != nil || len(shown.Changes()) != 1 || len(shown.Problems()) != 0 || shown.Head().Version().Number() != 0 {
		t.Fatalf("Compare() = %+v, %v, want one change", shown, err)
	}
	route := mustSet(t, books[1], "route", "r", `{"service":"none"}`, 0)
	if _, err := books[0].Accept(ctx, acceptTime, "one", shown.Candidate().Digest()); KindOf(err) != KindCandidateChanged {
		t.Errorf("Accept() of a changed candidate = %v, want kind candidate_changed", err)
	}
	var rejected *Error
	if _, err := books[0].Accept(ctx, acceptTime, "one", anyDigest); !errors.As(err, &rejected) ||
		rejected.Kind() != KindRejected || len(rejected.Problems()) != 1 {
		t.Errorf("Accept() of an invalid candidate = %v, want one problem", err)
	}
	checkHead(t, books[0], 0, "")
	mustSet(t, books[1], "route", "r", `{"service":"a"}`, route.Revision())
	s := mustAccept(t, books[0], "one")
	checkHead(t, books[1], 1, "one")
	h, err := books[1].Head(ctx)
	if err != nil || !h.AcceptedAt().Equal(acceptTime) {
		t.Errorf("Head() = %+v, %v, want the time %s", h, err, acceptTime)
	}
	loaded, err := books[1].Load(ctx, h)
	if err != nil || loaded.Version() != s.Version() || len(loaded.Document().Resources()) != 2 {
		t.Errorf("Load() = %v, %v, want version %s", loaded, err, s.Version())
	}
	if _, err := books[0].Accept(ctx, acceptTime, "a/b", anyDigest); KindOf(err) != KindInvalid {
		t.Errorf("Accept() with a malformed id = %v, want kind invalid", err)
	}
}

// TestAcceptEqualContent guards against a version that cannot be stored because an earlier one had the same
// content under another number.
func TestAcceptEqualContent(t *testing.T) {
	_, _, books := newBooks()
	first := mustSet(t, books[0], "service", "a", `{}`, 0)
	one := mustAccept(t, books[0], "one")
	second := mustSet(t, books[0], "service", "a", `{"labels":{"x":"1"}}`, first.Revision())
	mustAccept(t, books[0], "two")
	mustSet(t, books[0], "service", "a", `{}`, second.Revision())
	three := mustAccept(t, books[0], "three")
	if three.Version().Number() != 3 || three.Version().Digest() != one.Version().Digest() {
		t.Errorf("Accept() = %s, want number 3 with the content of %s", three.Version(), one.Version())
	}
	h, err := books[0].Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if s, err := books[0].Load(context.Background(), h); err != nil || s.Version() != three.Version() {
		t.Errorf("Load() = %v, %v, want %s", s, err, three.Version())
	}
}

// TestAcceptRaces guards against two accepts that both move the head from one version, and against an accepted
// version without an edit that was confirmed before the accept took effect.
func TestAcceptRaces(t *testing.T) {
	ctx := context.Background()
	_, stores, books := newBooks()
	mustSet(t, books[0], "service", "a", `{}`, 0)
	stores[0].beforeMove = func() { mustAccept(t, books[1], "theirs") }
	if _, err := books[0].Accept(ctx, acceptTime, "ours", anyDigest); KindOf(err) != KindConflict {
		t.Errorf("Accept() in a race = %v, want a conflict", err)
	}
	checkHead(t, books[0], 1, "theirs")

	stores[0].beforeMove = func() { mustSet(t, books[1], "service", "b", `{}`, 0) }
	s, err := books[0].Accept(ctx, acceptTime, "again", anyDigest)
	if err != nil || len(s.Document().Resources()) != 2 {
		t.Errorf("Accept() while an edit is set = %v, %v, want both services", s, err)
	}
	stores[0].beforeMove = func() { mustSet(t, books[1], "service", "c", `{}`, 0) }
	if _, err := books[0].Accept(ctx, acceptTime, "shown", s.Version().Digest()); KindOf(err) != KindCandidateChanged {
		t.Errorf("Accept() of the shown candidate = %v, want kind candidate_changed", err)
	}
	stores[0].beforeMove = func() { mustAccept(t, books[1], "same") }
	if s, err := books[0].Accept(ctx, acceptTime, "same", anyDigest); err != nil || s.Version().Number() != 3 {
		t.Errorf("Accept() under the same id = %v, %v, want version 3", s, err)
	}
	checkHead(t, books[0], 3, "same")
}

// TestAcceptFaults guards against an accept that takes effect twice, or that is reported with a wrong outcome.
func TestAcceptFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  emulator.PlatformFaults
		lose    bool
		hold    bool
		kind    Kind
		applied bool
	}{
		{"answers of object lost", emulator.PlatformFaults{LoseWrites: 3}, false, false, "", true},
		{"answer of transaction lost", emulator.PlatformFaults{}, true, false, "", true},
		{"answers of object and transaction lost", emulator.PlatformFaults{LoseWrites: 1}, true, false, "", true},
		{"answer of transaction lost, reads stale", emulator.PlatformFaults{StaleReads: true}, true, false, "", true},
		{"object refused", emulator.PlatformFaults{RefuseWrites: 1}, false, false, KindUnavailable, false},
		{"reads refused", emulator.PlatformFaults{RefuseReads: 2}, false, false, KindUnavailable, false},
		{"down", emulator.PlatformFaults{Down: true}, false, false, KindUnavailable, false},
		{"transaction late", emulator.PlatformFaults{}, false, true, KindUnknownOutcome, false},
		{"reads stale", emulator.PlatformFaults{StaleReads: true}, false, false, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			memory, stores, books := newBooks()
			mustSet(t, books[0], "service", "a", `{}`, 0)
			mustFaults(t, memory, tt.faults)
			stores[0].loseMove, stores[0].holdMove = tt.lose, tt.hold
			s, err := books[0].Accept(ctx, acceptTime, "one", anyDigest)
			if KindOf(err) != tt.kind || (err == nil) != (s != nil) {
				t.Errorf("Accept() = %v, %v, want kind %q", s, err, tt.kind)
			}
			mustFaults(t, memory, emulator.PlatformFaults{})
			if tt.applied {
				checkHead(t, books[1], 1, "one")
			} else {
				checkHead(t, books[1], 0, "")
			}
			// The operator repeats the accept; a late transaction arrives in between or after it.
			again := mustAccept(t, books[1], "one")
			stores[0].release(ctx)
			if again.Version().Number() != 1 {
				t.Errorf("repeated Accept() = %s, want version 1", again.Version())
			}
			checkHead(t, books[1], 1, "one")
		})
	}
}

// TestAcceptStaleCandidate guards against an accept that says the candidate is another one than the operator was
// shown, or invalid, when only its reads were stale.
func TestAcceptStaleCandidate(t *testing.T) {
	ctx := context.Background()
	tests := []struct{ name, before, after string }{
		{"other candidate", `{"service":"a"}`, `{"service":"a","timeout":"1s"}`},
		{"invalid candidate", `{"service":"none"}`, `{"service":"a"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory, _, books := newBooks()
			mustSet(t, books[0], "service", "a", `{}`, 0)
			other := mustSet(t, books[0], "route", "r", tt.after, 0)
			shown, err := books[0].Candidate(ctx)
			if err != nil {
				t.Fatal(err)
			}
			other = mustSet(t, books[0], "route", "r", tt.before, other.Revision())
			mustFaults(t, memory, emulator.PlatformFaults{StaleReads: true})
			mustSet(t, books[0], "route", "r", tt.after, other.Revision())
			for _, want := range []configuration.Digest{anyDigest, shown.Digest()} {
				if _, err := books[0].Accept(ctx, acceptTime, "one", want); KindOf(err) != KindConflict {
					t.Errorf("Accept(%s) with stale reads = %v, want a conflict", want, err)
				}
			}
			mustFaults(t, memory, emulator.PlatformFaults{})
			if _, err := books[0].Accept(ctx, acceptTime, "one", shown.Digest()); err != nil {
				t.Errorf("Accept() = %v, want success", err)
			}
		})
	}
}

// TestAcceptStaleReads guards against an accept that leaves out a confirmed edit, or that denies an accept which
// took effect, because its reads were stale.
func TestAcceptStaleReads(t *testing.T) {
	ctx := context.Background()
	memory, _, books := newBooks()
	mustSet(t, books[0], "service", "a", `{}`, 0)
	shown, err := books[0].Candidate(ctx)
	if err != nil {
		t.Fatal(err)
	}
	mustFaults(t, memory, emulator.PlatformFaults{StaleReads: true})
	one, err := books[0].Accept(ctx, acceptTime, "one", shown.Digest())
	if err != nil {
		t.Fatal(err)
	}
	mustSet(t, books[0], "service", "b", `{}`, 0)
	if s, err := books[0].Accept(ctx, acceptTime, "two", anyDigest); KindOf(err) != KindConflict {
		t.Errorf("Accept() with stale reads = %v, %v, want a conflict", s, err)
	}
	if s, err := books[1].Accept(ctx, acceptTime, "one", shown.Digest()); err != nil || s.Version() != one.Version() {
		t.Errorf("repeated Accept() with stale reads = %v, %v, want %s", s, err, one.Version())
	}
	mustFaults(t, memory, emulator.PlatformFaults{})
	if s := mustAccept(t, books[0], "two"); len(s.Document().Resources()) != 2 {
		t.Errorf("Accept() = %s with %d resources, want 2", s.Version(), len(s.Document().Resources()))
	}
	if _, err := books[0].Accept(ctx, acceptTime, "two", shown.Digest()); KindOf(err) != KindConflict {
		t.Errorf("Accept() with the id of another candidate = %v, want a conflict", err)
	}
}
