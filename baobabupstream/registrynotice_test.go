package baobabupstream

import (
	"testing"
	"time"
)

// TestLeavingNotice guards against calls to an upstream that leaves, and against shutting out its next process.
func TestLeavingNotice(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	now := start.Add(time.Minute)
	announce := func(r *Registry, startedAt time.Time) {
		t.Helper()
		a, err := NewAnnouncement("u1", "quotes", "127.0.0.1:9", 6, 8, WithStart(startedAt))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Announce(now, a); err != nil {
			t.Fatal(err)
		}
	}
	leaves := NewNotice(-1, true)
	for _, c := range []struct {
		name string
		run  func(r *Registry)
		want State
	}{
		{"said, announced again", func(r *Registry) {
			announce(r, start)
			r.ObserveNotice("u1", leaves)
			r.ObserveNotice("u1", Notice{})
			announce(r, start)
		}, StateDraining},
		{"said, restarted", func(r *Registry) {
			announce(r, start)
			r.ObserveNotice("u1", leaves)
			announce(r, start.Add(30*time.Second))
		}, StateReady},
		{"said by another upstream", func(r *Registry) {
			announce(r, start)
			r.ObserveNotice("u2", leaves)
		}, StateReady},
		{"inherited before its announcement", func(r *Registry) {
			r.InheritNotice("u1", start.Add(time.Second), leaves)
			announce(r, start)
		}, StateDraining},
		{"inherited after its announcement", func(r *Registry) {
			announce(r, start)
			r.InheritNotice("u1", start, leaves)
		}, StateDraining},
		{"inherited, restarted", func(r *Registry) {
			r.InheritNotice("u1", start, leaves)
			announce(r, start.Add(30*time.Second))
		}, StateReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistry()
			c.run(r)
			if _, got, _ := r.Current(); got != c.want {
				t.Errorf("state %s, want %s", got, c.want)
			}
		})
	}
}
