package baobabrelease

import (
	"context"
	"errors"
	"testing"

	emulator "github.com/baobabdale/baobabdale/baobabemulator"
)

// TestEditConflict guards against an edit that silently overwrites the edit of another operator.
func TestEditConflict(t *testing.T) {
	ctx := context.Background()
	_, _, repositories := newRepositories()
	first := mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
	second := mustSetEdit(t, repositories[1], "service", "a", `{"labels":{"x":"1"}}`, first.Revision())
	for _, expect := range []Revision{0, first.Revision(), second.Revision() + 1} {
		_, err := repositories[0].SetEdit(ctx, "service", "a", []byte(`{"labels":{"x":"2"}}`), expect)
		var e *Error
		if !errors.As(err, &e) || e.Kind() != KindConflict {
			t.Fatalf("SetEdit(expect %d) = %v, want a conflict", expect, err)
		}
		if current, ok := e.CurrentEdit(); !ok || current.Revision() != second.Revision() ||
			string(current.Text()) != `{"labels":{"x":"1"}}` {
			t.Errorf("CurrentEdit() = %+v, %v, want the newer edit", current, ok)
		}
		if expect == 0 {
			continue
		}
		if err := repositories[0].DeleteEdit(ctx, "service", "a", expect); KindOf(err) != KindConflict {
			t.Errorf("DeleteEdit(expect %d) = %v, want a conflict", expect, err)
		}
	}
	if err := repositories[0].DeleteEdit(ctx, "service", "a", second.Revision()); err != nil {
		t.Error(err)
	}
	if _, err := repositories[1].SetEdit(ctx, "service", "a", []byte(`{}`), second.Revision()); KindOf(err) !=
		KindConflict {
		t.Errorf("SetEdit() of a deleted edit = %v, want a conflict", err)
	}
	if edits, err := repositories[0].ListEdits(ctx); err != nil || len(edits) != 0 {
		t.Errorf("ListEdits() = %v, %v, want none", edits, err)
	}
}

// TestDeletedAccountKeepsKeysRequired guards against an account whose deletion, as that of the last one, lets requests run
// without a key.
func TestDeletedAccountKeepsKeysRequired(t *testing.T) {
	ctx := context.Background()
	_, _, repositories := newRepositories()
	check := func(want bool) {
		t.Helper()
		if d, err := repositories[1].Candidate(ctx); err != nil || d.RequiresKeys() != want {
			t.Errorf("candidate requires keys: %t, %v, want %t", !want, err, want)
		}
	}
	mustSetEdit(t, repositories[0], "service", "a", `{}`, 0)
	check(false)
	club := mustSetEdit(t, repositories[0], "account", "club", `{}`, 0)
	check(true)
	if err := repositories[0].DeleteEdit(ctx, "account", "club", club.Revision()); err != nil {
		t.Fatal(err)
	}
	check(true)
	required, ok, err := repositories[0].GetEdit(ctx, "authentication", "required")
	if err != nil || !ok {
		t.Fatalf("no authentication is set: %v", err)
	}
	if err := repositories[0].DeleteEdit(ctx, "authentication", "required", required.Revision()); err != nil {
		t.Fatal(err)
	}
	check(false)
}

// TestEditRejectsInvalidArguments guards against stored rows from which no candidate can be built.
func TestEditRejectsInvalidArguments(t *testing.T) {
	ctx := context.Background()
	_, _, repositories := newRepositories()
	tests := []struct{ kind, name, text string }{
		{"upstream", "a", `{}`},
		{"service", "", `{}`},
		{"service", "a/b", `{}`},
		{"service", "a", `{"label":{}}`},
		{"service", "a", `{`},
	}
	for _, tt := range tests {
		if _, err := repositories[0].SetEdit(ctx, tt.kind, tt.name, []byte(tt.text), 0); KindOf(err) != KindInvalid {
			t.Errorf("SetEdit(%q, %q, %q) = %v, want kind invalid", tt.kind, tt.name, tt.text, err)
		}
	}
	if err := repositories[0].DeleteEdit(ctx, "service", "a", 0); KindOf(err) != KindInvalid {
		t.Errorf("DeleteEdit(expect 0) = %v, want kind invalid", err)
	}
}

// TestEditFaults guards against an edit that is reported as failed although it took effect, or the reverse.
func TestEditFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  emulator.PlatformFaults
		kind    Kind
		applied bool
	}{
		{"response lost", emulator.PlatformFaults{LoseWrites: 1}, "", true},
		{"response lost, stale reads", emulator.PlatformFaults{LoseWrites: 1, StaleReads: true}, "", true},
		{"responses of the write and of every check lost", emulator.PlatformFaults{LoseWrites: 4}, KindUnknownOutcome, true},
		{"refused", emulator.PlatformFaults{RefuseWrites: 1}, KindUnavailable, false},
		{"down", emulator.PlatformFaults{Down: true}, KindUnknownOutcome, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			memory, _, repositories := newRepositories()
			old := mustSetEdit(t, repositories[0], "service", "old", `{}`, 0)
			mustSetFaults(t, memory, tt.faults)
			e, err := repositories[0].SetEdit(ctx, "service", "new", []byte(`{}`), 0)
			if KindOf(err) != tt.kind || (err == nil && e.Revision() == 0) {
				t.Errorf("SetEdit() = %+v, %v, want kind %q", e, err, tt.kind)
			}
			mustSetFaults(t, memory, tt.faults)
			if err := repositories[0].DeleteEdit(ctx, "service", "old", old.Revision()); KindOf(err) != tt.kind {
				t.Errorf("DeleteEdit() = %v, want kind %q", err, tt.kind)
			}
			mustSetFaults(t, memory, emulator.PlatformFaults{})
			if _, ok, err := repositories[1].GetEdit(ctx, "service", "new"); ok != tt.applied || err != nil {
				t.Errorf("GetEdit(new) = %v, %v, want %v", ok, err, tt.applied)
			}
			if _, ok, err := repositories[1].GetEdit(ctx, "service", "old"); ok == tt.applied || err != nil {
				t.Errorf("GetEdit(old) = %v, %v, want %v", ok, err, !tt.applied)
			}
		})
	}
}
