package baobabupstream

import (
	"testing"
	"time"
)

// TestDepartureOutlivesProcess guards against a late announcement that brings back an upstream that drains or has left,
// after all processes that knew of it have ended, and against keeping out an upstream that comes back.
func TestDepartureOutlivesProcess(t *testing.T) {
	const first, limit = 1_800_000_000_000, defaultHeartbeatLimit // Start of the upstream in Unix milliseconds.
	now := time.UnixMilli(first).Add(time.Hour)
	type heartbeat struct {
		id       string
		born     int64 // 0: the announcement states neither its start nor its number.
		sequence uint64
		state    State
	}
	announce := func(r *Registry, at time.Time, h heartbeat) error {
		options := []AnnouncementOption{WithState(h.state)}
		if h.born != 0 {
			options = append(options, WithSequence(h.sequence), WithStart(time.UnixMilli(h.born)))
		}
		a, err := NewAnnouncement(h.id, "quotes", "127.0.0.1:9", 6, 8, options...)
		if err != nil {
			t.Fatal(err)
		}
		return r.Announce(at, a)
	}
	drains := []heartbeat{{"u", first, 8, StateReady}, {"u", first, 9, StateDraining}, {"u", first, 10, StateDraining}}
	for _, c := range []struct {
		name   string
		before []heartbeat // At the earlier process.
		leaves string      // Id of the upstream that then leaves; empty: none.
		after  []heartbeat // At the later process, half of the heartbeat limit apart.
		want   State       // After the last of them.
		kind   Kind        // Of the last one's error.
	}{
		{"left, late", drains[:1], "u", []heartbeat{{"u", first, 7, StateReady}}, "", KindGone},
		{"left, sent after all that were read", drains[:1], "u", []heartbeat{{"u", first, 9, StateReady}}, "", KindGone},
		{"left, unknown here", nil, "u", []heartbeat{{"u", first, 9, StateReady}}, "", KindGone},
		{"left, its health check answers", drains[:1], "u", []heartbeat{{"u", 0, 0, StateReady}}, "", KindGone},
		{"left, another upstream", drains[:1], "u", []heartbeat{{"v", first, 7, StateReady}}, StateReady, ""},
		{"left, started again", drains[:1], "u", []heartbeat{{"u", first + 1, 0, StateReady}}, StateReady, ""},
		{"left, started again after its clock was set back", drains[:1], "u",
			[]heartbeat{{"u", first - 1, 0, StateReady}, {"u", first - 1, 1, StateReady}, {"u", first - 1, 2, StateReady}}, StateReady, ""},
		{"left, earlier process, late", drains[:1], "u",
			[]heartbeat{{"u", first - 1, 3, StateReady}, {"u", first - 1, 2, StateReady}, {"u", first - 1, 1, StateReady}}, "", KindGone},
		{"drains, late", drains, "", []heartbeat{{"u", first, 8, StateReady}}, "", KindOutOfOrder},
		{"drains, goes on", drains, "", []heartbeat{{"u", first, 8, StateReady}, {"u", first, 11, StateDraining}}, StateDraining, ""},
		{"drains, earlier process, late", drains, "", []heartbeat{{"u", first - 1, 99, StateReady}}, "", KindGone},
		{"drains, its health check answers", drains, "", []heartbeat{{"u", 0, 0, StateReady}}, "", KindOutOfOrder},
		{"drains, revoked", drains, "", []heartbeat{{"u", first, 11, StateReady}}, StateReady, ""},
		{"drains and left, late", drains, "u", []heartbeat{{"u", first, 8, StateReady}}, "", KindOutOfOrder},
		{"revoked and left, late", append(drains[:3:3], heartbeat{"u", first, 11, StateReady}), "u",
			[]heartbeat{{"u", first, 10, StateReady}}, "", KindGone},
		{"number 0, late", []heartbeat{{"u", first, 1, StateDraining}}, "", []heartbeat{{"u", first, 0, StateReady}}, "", KindOutOfOrder},
	} {
		t.Run(c.name, func(t *testing.T) {
			earlier := NewRegistry()
			stored := Departure{}
			store := func() { // As a store would, which is written only where the stored departure does not suffice.
				if d := earlier.Departure(); !stored.Covers(d) {
					decoded, err := DecodeDeparture(d.Encode())
					if err != nil || !decoded.Covers(d) {
						t.Fatalf("decoded %+v, %v; want %+v", decoded, err, d)
					}
					stored = decoded
				}
			}
			for _, h := range c.before {
				if err := announce(earlier, now, h); err != nil {
					t.Fatal(err)
				}
				store()
			}
			earlier.Leave(now, c.leaves)
			store()
			var err error
			r := NewRegistry(WithRestore())
			r.Restore(stored)
			for i, h := range c.after {
				err = announce(r, now.Add(time.Duration(i)*limit/2), h)
			}
			if _, state, _ := r.Current(); state != c.want || kindOf(err) != c.kind {
				t.Errorf("state %q, error %v; want %q and kind %q", state, err, c.want, c.kind)
			}
			// The announcements arrive before the departure is read.
			r = NewRegistry(WithRestore())
			for i, h := range c.after {
				_ = announce(r, now.Add(time.Duration(i)*limit/2), h)
			}
			if _, state, known := r.Current(); known {
				t.Errorf("%s before the departure is restored", state)
			}
			r.Restore(stored)
			if _, state, _ := r.Current(); state.AcceptsCalls() && c.want != StateReady {
				t.Errorf("restored late: state %q, want %q", state, c.want)
			}
		})
	}
}

// TestSuccessiveDepartures guards against an upstream that left and comes back with a late announcement, because the one
// after it drains as well.
func TestSuccessiveDepartures(t *testing.T) {
	r, now := NewRegistry(), time.UnixMilli(1_800_000_000_000)
	announce := func(id string, sequence uint64, s State) error {
		a, err := NewAnnouncement(id, "quotes", "127.0.0.1:"+id, 6, 8, WithState(s), WithSequence(sequence), WithStart(now))
		if err != nil {
			t.Fatal(err)
		}
		return r.Announce(now.Add(time.Second), a)
	}
	for _, id := range []string{"1", "2"} {
		if err := announce(id, 1, StateReady); err != nil {
			t.Fatal(err)
		}
		if id == "1" {
			r.Leave(now.Add(time.Second), id)
			continue
		}
		if err := announce(id, 2, StateDraining); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"1", "2"} {
		if err := announce(id, 1, StateReady); err == nil {
			t.Errorf("a late announcement of upstream %s is accepted", id)
		}
	}
}
