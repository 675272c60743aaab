package baobabnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// newTestDepartures returns the departures of a process of node n in failure domain a, and its registry.
func newTestDepartures(store platform.Store, restoreWait time.Duration) (*departureController, *upstream.Registry) {
	r := upstream.NewRegistry(upstream.WithRestore())
	return newDepartureController(blackboard.NewBoard(), store, r, "a", "n", restoreWait, log.New(io.Discard), metrics.NewSet()), r
}

func testAnnouncement(t *testing.T, born, sequence int, s upstream.State) upstream.Announcement {
	t.Helper()
	a, err := upstream.NewAnnouncement("u", "quotes", "127.0.0.1:9", 6, 8, upstream.WithState(s),
		upstream.WithStart(time.UnixMilli(int64(born))), upstream.WithSequence(uint64(sequence)))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// serveAnnouncement passes an announcement, or a leaving, through the handler that acknowledges departures.
func serveAnnouncement(c *departureController, apply func()) int {
	w := httptest.NewRecorder()
	c.acknowledge(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		apply()
		w.WriteHeader(http.StatusNoContent)
	})).ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/", nil))
	return w.Code
}

// TestAcknowledgedDepartureIsRestored guards against a departure that was acknowledged and is unknown after all processes
// that knew of it were killed, whatever the platform did meanwhile, and against a write for each heartbeat.
func TestAcknowledgedDepartureIsRestored(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		prepare func(s *memoryStore)
		leaves  bool // After the drain.
		commits int  // Expected.
	}{
		{"drains", func(*memoryStore) {}, false, 1},
		{"drains and leaves", func(*memoryStore) {}, true, 1},
		{"row of an earlier departure", func(s *memoryStore) {
			s.rows["departure/a/n"] = platform.NewRow("departure/a/n", []byte(`{"upstream_id":"old","gone":true}`), 7)
		}, true, 1},
		{"malformed row", func(s *memoryStore) { s.rows["departure/a/n"] = platform.NewRow("departure/a/n", []byte(`{`), 7) }, true, 1},
		{"first write without a response", func(s *memoryStore) { s.lose = 1 }, false, 2},
		{"first write refused", func(s *memoryStore) { s.refuse = 1 }, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &memoryStore{rows: map[string]platform.Row{}}
			c.prepare(store)
			first, r := newTestDepartures(store, time.Hour)
			ctx, kill := context.WithCancel(t.Context())
			defer kill()
			if err := first.restore(ctx); err != nil {
				t.Fatal(err)
			}
			for sequence, state := range []upstream.State{upstream.StateReady, upstream.StateDraining, upstream.StateDraining} {
				code := serveAnnouncement(first, func() {
					if err := r.Announce(now, testAnnouncement(t, 1000, sequence, state)); err != nil {
						t.Error(err)
					}
				})
				if code != http.StatusNoContent {
					t.Errorf("status %d, want %d", code, http.StatusNoContent)
				}
			}
			if c.leaves {
				serveAnnouncement(first, func() { r.Leave(now, "u") })
			}
			if store.commits != c.commits {
				t.Errorf("%d commits, want %d", store.commits, c.commits)
			}
			second, r := newTestDepartures(store, time.Hour)
			if err := second.restore(ctx); err != nil {
				t.Fatal(err)
			}
			if err := r.Announce(now, testAnnouncement(t, 1000, 0, upstream.StateReady)); err == nil {
				t.Error("a late announcement is accepted")
			}
			if err := r.Announce(now, testAnnouncement(t, 2000, 0, upstream.StateReady)); err != nil {
				t.Errorf("the upstream comes back: %v", err)
			}
		})
	}
}

// TestDepartureWhilePlatformIsAway guards against an upstream that gets no calls because its node cannot read departures,
// and against departures that stay unknown once the platform is back.
func TestDepartureWhilePlatformIsAway(t *testing.T) {
	now := time.Now()
	away := platform.NewError("test", platform.KindUnavailable, nil)
	store := &memoryStore{rows: map[string]platform.Row{}}
	c, r := newTestDepartures(store, 10*time.Millisecond)
	store.setErr(away)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	await := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal(what)
			}
		}
	}
	if err := r.Announce(now, testAnnouncement(t, 1000, 1, upstream.StateReady)); err != nil {
		t.Fatal(err)
	}
	await("the upstream is not used while the platform is away", func() bool {
		_, state, _ := r.Current()
		return state == upstream.StateReady
	})
	if code := serveAnnouncement(c, func() { r.Leave(now, "u") }); code != http.StatusNoContent {
		t.Errorf("status %d while the platform is away, want %d", code, http.StatusNoContent)
	}
	store.setErr(nil)
	await("the departure is not written once the platform is back", func() bool {
		_, stored, _ := store.Get(ctx, "departure/a/n")
		return stored
	})
	late, r := newTestDepartures(store, 0)
	r.Restore(upstream.Departure{}) // The platform could not be read in time.
	if err := r.Announce(now, testAnnouncement(t, 1000, 1, upstream.StateReady)); err != nil {
		t.Fatal(err)
	}
	if err := late.restore(ctx); err != nil {
		t.Fatal(err)
	}
	if _, state, _ := r.Current(); state.AcceptsCalls() {
		t.Errorf("an upstream that has left is %s after its departure was read", state)
	}
}

// TestDepartureRowsAreBounded guards against a row for each VM that ever existed, and against deleting a row that was
// written meanwhile.
func TestDepartureRowsAreBounded(t *testing.T) {
	store := &memoryStore{rows: map[string]platform.Row{}}
	const extra = 20
	for i := range departureRowLimit + extra {
		key := fmt.Sprintf("departure/a/n%04d", i)
		store.rows[key] = platform.NewRow(key, nil, uint64(i+1))
	}
	c, _ := newTestDepartures(store, time.Hour)
	c.prune(t.Context())
	if n := len(store.rows); n != departureRowLimit {
		t.Errorf("%d rows, want %d", n, departureRowLimit)
	}
	if _, ok := store.rows[fmt.Sprintf("departure/a/n%04d", extra-1)]; ok {
		t.Error("the oldest rows are kept")
	}
}
