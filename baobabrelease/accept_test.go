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

func mustAccept(t *testing.T, r *Repository, operationID string) *configuration.Snapshot {
	t.Helper()
	s, err := r.Accept(context.Background(), acceptTime, operationID, anyDigest)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func checkHead(t *testing.T, r *Repository, number uint64, operationID string) {
	t.Helper()
	h, err := r.Head(context.Background())
	if err != nil || h.Version().Number() != number || h.OperationID() != operationID {
		t.Errorf("Head() = %+v, %v, want version %d of operation %q", h, err, number, operationID)
	}
}

// TestAccept guards against an accept that activates something other than the candidate the operator was shown.
func TestAccept(t *testing.T) {
	ctx := context.Background()
	_, _, repositories := newRepositories()
	checkHead(t, repositories[0], 0, "")
	mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
	shown, err := repositories[0].Compare(ctx)
	if err != nil || len(shown.Changes()) != 1 || len(shown.Problems()) != 0 || shown.Head().Version().Number() != 0 {
		t.Fatalf("Compare() = %+v, %v, want one change", shown, err)
	}
	route := mustSetEdit(t, repositories[1], "route", "r", `{"service":"none"}`, 0)
	if _, err := repositories[0].Accept(ctx, acceptTime, "one", shown.Candidate().Digest()); KindOf(err) !=
		KindCandidateChanged {
		t.Errorf("Accept() of a changed candidate = %v, want kind candidate_changed", err)
	}
	var rejected *Error
	if _, err := repositories[0].Accept(ctx, acceptTime, "one", anyDigest); !errors.As(err, &rejected) ||
		rejected.Kind() != KindRejected || len(rejected.Problems()) != 1 {
		t.Errorf("Accept() of an invalid candidate = %v, want one problem", err)
	}
	checkHead(t, repositories[0], 0, "")
	mustSetEdit(t, repositories[1], "route", "r", `{"service":"a"}`, route.Revision())
	s := mustAccept(t, repositories[0], "one")
	checkHead(t, repositories[1], 1, "one")
	h, err := repositories[1].Head(ctx)
	if err != nil || !h.AcceptedAt().Equal(acceptTime) {
		t.Errorf("Head() = %+v, %v, want the time %s", h, err, acceptTime)
	}
	loaded, err := repositories[1].Load(ctx, h)
	if err != nil || loaded.Version() != s.Version() || len(loaded.Document().Resources()) != 2 {
		t.Errorf("Load() = %v, %v, want version %s", loaded, err, s.Version())
	}
	if _, err := repositories[0].Accept(ctx, acceptTime, "a/b", anyDigest); KindOf(err) != KindInvalid {
		t.Errorf("Accept() with a malformed ID = %v, want kind invalid", err)
	}
}

// TestAcceptEqualContent guards against a version that cannot be stored because an earlier version with another number
// has the same content.
func TestAcceptEqualContent(t *testing.T) {
	_, _, repositories := newRepositories()
	first := mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
	one := mustAccept(t, repositories[0], "one")
	second := mustSetEdit(t, repositories[0], "service", "a", `{"labels":{"x":"1"}}`, first.Revision())
	mustAccept(t, repositories[0], "two")
	mustSetEdit(t, repositories[0], "service", "a", `{}`, second.Revision())
	three := mustAccept(t, repositories[0], "three")
	if three.Version().Number() != 3 || three.Version().Digest() != one.Version().Digest() {
		t.Errorf("Accept() = %s, want number 3 with the content of %s", three.Version(), one.Version())
	}
	h, err := repositories[0].Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if s, err := repositories[0].Load(context.Background(), h); err != nil || s.Version() != three.Version() {
		t.Errorf("Load() = %v, %v, want %s", s, err, three.Version())
	}
}

// TestAcceptConcurrentChanges guards against two accepts that both move the head from the same version, and against an
// accepted version that misses an edit confirmed before the accept took effect.
func TestAcceptConcurrentChanges(t *testing.T) {
	ctx := context.Background()
	_, stores, repositories := newRepositories()
	mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
	stores[0].beforeHeadCommit = func() { mustAccept(t, repositories[1], "theirs") }
	if _, err := repositories[0].Accept(ctx, acceptTime, "ours", anyDigest); KindOf(err) != KindConflict {
		t.Errorf("Accept() concurrent with another = %v, want a conflict", err)
	}
	checkHead(t, repositories[0], 1, "theirs")

	stores[0].beforeHeadCommit = func() { mustSetEdit(t, repositories[1], "service", "b", `{}`, 0) }
	s, err := repositories[0].Accept(ctx, acceptTime, "again", anyDigest)
	if err != nil || len(s.Document().Resources()) != 2 {
		t.Errorf("Accept() while an edit is set = %v, %v, want both services", s, err)
	}
	stores[0].beforeHeadCommit = func() { mustSetEdit(t, repositories[1], "service", "c", `{}`, 0) }
	if _, err := repositories[0].Accept(ctx, acceptTime, "shown", s.Version().Digest()); KindOf(err) !=
		KindCandidateChanged {
		t.Errorf("Accept() of the shown candidate = %v, want kind candidate_changed", err)
	}
	stores[0].beforeHeadCommit = func() { mustAccept(t, repositories[1], "same") }
	if s, err := repositories[0].Accept(ctx, acceptTime, "same", anyDigest); err != nil || s.Version().Number() != 3 {
		t.Errorf("Accept() with the same ID = %v, %v, want version 3", s, err)
	}
	checkHead(t, repositories[0], 3, "same")
}

// TestAcceptFaults guards against an accept that takes effect twice or reports the wrong outcome when the platform
// loses responses, delays a transaction, refuses requests or serves stale reads.
func TestAcceptFaults(t *testing.T) {
	tests := []struct {
		name            string
		faults          emulator.PlatformFaults
		loseResponse    bool
		holdTransaction bool
		kind            Kind
		applied         bool
	}{
		{"object responses lost", emulator.PlatformFaults{LoseWrites: 3}, false, false, "", true},
		{"transaction response lost", emulator.PlatformFaults{}, true, false, "", true},
		{"object and transaction responses lost", emulator.PlatformFaults{LoseWrites: 1}, true, false, "", true},
		{"transaction response lost, stale reads", emulator.PlatformFaults{StaleReads: true}, true, false, "", true},
		{"object write refused", emulator.PlatformFaults{RefuseWrites: 1}, false, false, KindUnavailable, false},
		{"reads refused", emulator.PlatformFaults{RefuseReads: 2}, false, false, KindUnavailable, false},
		{"down", emulator.PlatformFaults{Down: true}, false, false, KindUnavailable, false},
		{"transaction delayed", emulator.PlatformFaults{}, false, true, KindUnknownOutcome, false},
		{"stale reads", emulator.PlatformFaults{StaleReads: true}, false, false, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			memory, stores, repositories := newRepositories()
			mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
			mustSetFaults(t, memory, tt.faults)
			stores[0].loseHeadResponse, stores[0].holdHeadCommit = tt.loseResponse, tt.holdTransaction
			s, err := repositories[0].Accept(ctx, acceptTime, "one", anyDigest)
			if KindOf(err) != tt.kind || (err == nil) != (s != nil) {
				t.Errorf("Accept() = %v, %v, want kind %q", s, err, tt.kind)
			}
			mustSetFaults(t, memory, emulator.PlatformFaults{})
			if tt.applied {
				checkHead(t, repositories[1], 1, "one")
			} else {
				checkHead(t, repositories[1], 0, "")
			}
			// The operator repeats the accept; a delayed transaction arrives after that.
			again := mustAccept(t, repositories[1], "one")
			stores[0].commitHeld(ctx)
			if again.Version().Number() != 1 {
				t.Errorf("repeated Accept() = %s, want version 1", again.Version())
			}
			checkHead(t, repositories[1], 1, "one")
		})
	}
}

// TestAcceptStaleCandidate guards against an accept that reports a changed or invalid candidate only because its reads
// were stale.
func TestAcceptStaleCandidate(t *testing.T) {
	ctx := context.Background()
	tests := []struct{ name, before, after string }{
		{"changed candidate", `{"service":"a"}`, `{"service":"a","timeout":"1s"}`},
		{"invalid candidate", `{"service":"none"}`, `{"service":"a"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory, _, repositories := newRepositories()
			mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
			other := mustSetEdit(t, repositories[0], "route", "r", tt.after, 0)
			shown, err := repositories[0].Candidate(ctx)
			if err != nil {
				t.Fatal(err)
			}
			other = mustSetEdit(t, repositories[0], "route", "r", tt.before, other.Revision())
			mustSetFaults(t, memory, emulator.PlatformFaults{StaleReads: true})
			mustSetEdit(t, repositories[0], "route", "r", tt.after, other.Revision())
			for _, want := range []configuration.Digest{anyDigest, shown.Digest()} {
				if _, err := repositories[0].Accept(ctx, acceptTime, "one", want); KindOf(err) != KindConflict {
					t.Errorf("Accept(%s) with stale reads = %v, want a conflict", want, err)
				}
			}
			mustSetFaults(t, memory, emulator.PlatformFaults{})
			if _, err := repositories[0].Accept(ctx, acceptTime, "one", shown.Digest()); err != nil {
				t.Errorf("Accept() = %v, want success", err)
			}
		})
	}
}

// TestAcceptStaleReads guards against an accept that, because of stale reads, omits a confirmed edit or reports that an
// earlier accept with the same id had no effect.
func TestAcceptStaleReads(t *testing.T) {
	ctx := context.Background()
	memory, _, repositories := newRepositories()
	mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
	shown, err := repositories[0].Candidate(ctx)
	if err != nil {
		t.Fatal(err)
	}
	mustSetFaults(t, memory, emulator.PlatformFaults{StaleReads: true})
	one, err := repositories[0].Accept(ctx, acceptTime, "one", shown.Digest())
	if err != nil {
		t.Fatal(err)
	}
	mustSetEdit(t, repositories[0], "service", "b", `{}`, 0)
	if s, err := repositories[0].Accept(ctx, acceptTime, "two", anyDigest); KindOf(err) != KindConflict {
		t.Errorf("Accept() with stale reads = %v, %v, want a conflict", s, err)
	}
	if s, err := repositories[1].Accept(ctx, acceptTime, "one", shown.Digest()); err != nil ||
		s.Version() != one.Version() {
		t.Errorf("repeated Accept() with stale reads = %v, %v, want %s", s, err, one.Version())
	}
	mustSetFaults(t, memory, emulator.PlatformFaults{})
	if s := mustAccept(t, repositories[0], "two"); len(s.Document().Resources()) != 2 {
		t.Errorf("Accept() = %s with %d resources, want 2", s.Version(), len(s.Document().Resources()))
	}
	if _, err := repositories[0].Accept(ctx, acceptTime, "two", shown.Digest()); KindOf(err) != KindConflict {
		t.Errorf("Accept() with the ID of another candidate = %v, want a conflict", err)
	}
}
