package baobabrelease

import (
	"context"
	"errors"
	"testing"

	emulator "github.com/baobabdale/baobabdale/baobabemulator"
)

// TestSetConflict guards against an edit that silently replaces the edit of another operator.
func TestSetConflict(t *testing.T) {
	ctx := context.Background()
	_, _, books := newBooks()
	first := mustSet(t, books[0], "service", "a", `{}`, 0)
	second := mustSet(t, books[1], "service", "a", `{"labels":{"x":"1"}}`, first.Revision())
	for _, expect := range []Revision{0, first.Revision(), second.Revision() + 1} {
		_, err := books[0].Set(ctx, "service", "a", []byte(`{"labels":{"x":"2"}}`), expect)
		var e *Error
		if !errors.As(err, &e) || e.Kind() != KindConflict {
			t.Fatalf("Set(expect %d) = %v, want a conflict", expect, err)
		}
		if now, ok := e.Current(); !ok || now.Revision() != second.Revision() || string(now.Text()) != `{"labels":{"x":"1"}}` {
			t.Errorf("Current() = %+v, %v, want the newer edit", now, ok)
		}
		if expect == 0 {
			continue
		}
		if err := books[0].Delete(ctx, "service", "a", expect); KindOf(err) != KindConflict {
			t.Errorf("Delete(expect %d) = %v, want a conflict", expect, err)
		}
	}
	if err := books[0].Delete(ctx, "service", "a", second.Revision()); err != nil {
		t.Error(err)
	}
	if _, err := books[1].Set(ctx, "service", "a", []byte(`{}`), second.Revision()); KindOf(err) != KindConflict {
		t.Errorf("Set() of a deleted edit = %v, want a conflict", err)
	}
	if edits, err := books[0].List(ctx); err != nil || len(edits) != 0 {
		t.Errorf("List() = %v, %v, want none", edits, err)
	}
}

// TestEditRefuses guards against rows that no candidate can be made of.
func TestEditRefuses(t *testing.T) {
	ctx := context.Background()
	_, _, books := newBooks()
	tests := []struct{ kind, name, text string }{
		{"upstream", "a", `{}`},
		{"service", "", `{}`},
		{"service", "a/b", `{}`},
		{"service", "a", `{"label":{}}`},
		{"service", "a", `{`},
	}
	for _, tt := range tests {
		if _, err := books[0].Set(ctx, tt.kind, tt.name, []byte(tt.text), 0); KindOf(err) != KindInvalid {
			t.Errorf("Set(%q, %q, %q) = %v, want kind invalid", tt.kind, tt.name, tt.text, err)
		}
	}
	if err := books[0].Delete(ctx, "service", "a", 0); KindOf(err) != KindInvalid {
		t.Errorf("Delete(expect 0) = %v, want kind invalid", err)
	}
}

// TestEditFaults guards against an edit that is reported as failed and took effect, or the reverse.
func TestEditFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  emulator.PlatformFaults
		kind    Kind
		applied bool
	}{
		{"answer lost", emulator.PlatformFaults{LoseWrites: 1}, "", true},
		{"answer lost, reads stale", emulator.PlatformFaults{LoseWrites: 1, StaleReads: true}, "", true},
		{"answer lost and every check too", emulator.PlatformFaults{LoseWrites: 4}, KindUnknownOutcome, true},
		{"refused", emulator.PlatformFaults{RefuseWrites: 1}, KindUnavailable, false},
		{"down", emulator.PlatformFaults{Down: true}, KindUnknownOutcome, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			memory, _, books := newBooks()
			old := mustSet(t, books[0], "service", "old", `{}`, 0)
			mustFaults(t, memory, tt.faults)
			e, err := books[0].Set(ctx, "service", "new", []byte(`{}`), 0)
			if KindOf(err) != tt.kind || (err == nil && e.Revision() == 0) {
				t.Errorf("Set() = %+v, %v, want kind %q", e, err, tt.kind)
			}
			mustFaults(t, memory, tt.faults)
			if err := books[0].Delete(ctx, "service", "old", old.Revision()); KindOf(err) != tt.kind {
				t.Errorf("Delete() = %v, want kind %q", err, tt.kind)
			}
			mustFaults(t, memory, emulator.PlatformFaults{})
			if _, ok, err := books[1].Get(ctx, "service", "new"); ok != tt.applied || err != nil {
				t.Errorf("Get(new) = %v, %v, want %v", ok, err, tt.applied)
			}
			if _, ok, err := books[1].Get(ctx, "service", "old"); ok == tt.applied || err != nil {
				t.Errorf("Get(old) = %v, %v, want %v", ok, err, !tt.applied)
			}
		})
	}
}
