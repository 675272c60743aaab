package baobabupstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// parsedAnnouncement returns the announcement that a node parses at now from an upstream that started age ago.
func parsedAnnouncement(t testing.TB, now time.Time, id, address string, state State, age time.Duration) Announcement {
	t.Helper()
	b, _ := json.Marshal(announcementJSON{
		UpstreamID: id, Service: "quotes", Address: address, Slots: 6, Connections: 130, State: state,
		Labels: map[string]string{"tier": "1"}, StartedMsAgo: age.Milliseconds(),
	})
	a, err := ParseAnnouncement(now, strings.NewReader(string(b)))
	if err != nil {
		t.Fatalf("ParseAnnouncement: %v", err)
	}
	return a
}

func kindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind()
	}
	return ""
}

func changed(r *Registry) bool {
	select {
	case <-r.Changed():
		return true
	default:
		return false
	}
}

// TestRegistryLifecycle guards against using an upstream without heartbeats or after it has left, and against
// notifications without a change.
func TestRegistryLifecycle(t *testing.T) {
	const a, b = "127.0.0.1:1", "127.0.0.1:2"
	r := NewRegistry()
	steps := []struct {
		at     time.Duration
		name   string
		do     func(now time.Time) error
		kind   Kind
		state  State
		change bool
	}{
		{0, "first", func(n time.Time) error { return r.Announce(n, parsedAnnouncement(t, n, "u1", a, StateWarming, 0)) }, "", StateWarming, true},
		{time.Second, "heartbeat with jitter", func(n time.Time) error {
			return r.Announce(n, parsedAnnouncement(t, n, "u1", a, StateWarming, 900*time.Millisecond))
		}, "", StateWarming, false},
		{2 * time.Second, "ready", func(n time.Time) error {
			return r.Announce(n, parsedAnnouncement(t, n, "u1", a, StateReady, 2*time.Second))
		}, "", StateReady, true},
		{3 * time.Second, "other upstream", func(n time.Time) error { return r.Announce(n, parsedAnnouncement(t, n, "u2", b, StateReady, 0)) }, KindConflict, StateReady, false},
		{2*time.Second + defaultHeartbeatLimit - time.Millisecond, "not yet expired", func(n time.Time) error { r.Expire(n); return nil }, "", StateReady, false},
		{2*time.Second + defaultHeartbeatLimit, "expired", func(n time.Time) error { r.Expire(n); return nil }, "", StateFailed, true},
		{6 * time.Second, "other upstream after failure", func(n time.Time) error { return r.Announce(n, parsedAnnouncement(t, n, "u2", b, StateReady, 0)) }, "", StateReady, true},
		{6 * time.Second, "same address, new process", func(n time.Time) error { return r.Announce(n, parsedAnnouncement(t, n, "u3", b, StateReady, 0)) }, "", StateReady, true},
		{7 * time.Second, "failed by a call", func(time.Time) error { r.MarkFailed("u3"); return nil }, "", StateFailed, true},
		{8 * time.Second, "heartbeat after failure", func(n time.Time) error {
			return r.Announce(n, parsedAnnouncement(t, n, "u3", b, StateReady, 2*time.Second))
		}, "", StateReady, true},
		{9 * time.Second, "draining", func(n time.Time) error {
			return r.Announce(n, parsedAnnouncement(t, n, "u3", b, StateDraining, 3*time.Second))
		}, "", StateDraining, true},
		{10 * time.Second, "leaves", func(n time.Time) error { r.Leave(n, "u3"); return nil }, "", "", true},
		{10 * time.Second, "late heartbeat", func(n time.Time) error {
			return r.Announce(n, parsedAnnouncement(t, n, "u3", b, StateReady, 4*time.Second))
		}, KindGone, "", false},
		{12 * time.Second, "restart under the same id", func(n time.Time) error {
			return r.Announce(n, parsedAnnouncement(t, n, "u3", b, StateReady, time.Second))
		}, "", StateReady, true},
	}
	for _, s := range steps {
		err := s.do(start.Add(s.at))
		if kindOf(err) != s.kind {
			t.Errorf("%s: error %v, want kind %q", s.name, err, s.kind)
		}
		if _, state, _ := r.Current(); state != s.state {
			t.Errorf("%s: state %q, want %q", s.name, state, s.state)
		}
		if got := changed(r); got != s.change {
			t.Errorf("%s: changed = %v, want %v", s.name, got, s.change)
		}
	}
}

// TestRegistryNeverServesSilent guards against an upstream that gets calls although its heartbeats are missing.
func TestRegistryNeverServesSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry()
		now, lastHeartbeat := start, start.Add(-time.Hour)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "heartbeat") {
				a := Announcement{upstreamID: "u", service: "s", address: "127.0.0.1:1", state: StateReady, startedAt: start}
				if r.Announce(now, a) == nil {
					lastHeartbeat = now
				}
			}
			r.Expire(now)
			if _, state, _ := r.Current(); state.AcceptsCalls() && now.Sub(lastHeartbeat) >= defaultHeartbeatLimit {
				t.Fatalf("state %s at %v after the last heartbeat", state, now.Sub(lastHeartbeat))
			}
		}
	})
}

// TestAnnouncementHandler guards against accepting malformed announcements, and against wrong status codes.
func TestAnnouncementHandler(t *testing.T) {
	server := httptest.NewServer(NewAnnouncementHandler(NewRegistry()))
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	const good = `{"upstream_id":"u1","service":"s","address":"127.0.0.1:1","slots":6,"connections":130,"labels":{},"state":"ready","started_ms_ago":5}`
	tests := []struct {
		name, method, path, body string
		want                     int
	}{
		{"good", "POST", "/v1/announce", good, 204},
		{"unknown field", "POST", "/v1/announce", `{"slot":1}`, 400},
		{"host name", "POST", "/v1/announce", strings.Replace(good, "127.0.0.1", "localhost", 1), 400},
		{"no slots", "POST", "/v1/announce", strings.Replace(good, `"slots":6`, `"slots":0`, 1), 400},
		{"failed state", "POST", "/v1/announce", strings.Replace(good, "ready", "failed", 1), 400},
		{"negative age", "POST", "/v1/announce", strings.Replace(good, ":5", ":-5", 1), 400},
		{"too large", "POST", "/v1/announce", `{"service":"` + strings.Repeat("a", maxAnnouncementBytes) + `"}`, 400},
		{"other", "POST", "/v1/announce", strings.NewReplacer("u1", "u2", "0.1:1", "0.1:2").Replace(good), 409},
		{"leave unknown", "DELETE", "/v1/announce?upstream_id=u2", "", 404},
		{"leave", "DELETE", "/v1/announce?upstream_id=u1", "", 204},
		{"late", "POST", "/v1/announce", strings.Replace(good, ":5}", ":50000}", 1), 410},
		{"other path", "POST", "/v1/other", good, 404},
	}
	for _, tt := range tests {
		request, _ := http.NewRequest(tt.method, server.URL+tt.path, strings.NewReader(tt.body))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != tt.want {
			t.Errorf("%s: status %d (%s), want %d", tt.name, response.StatusCode, text, tt.want)
		}
	}
}

// TestHealthTracker guards against a wrong health endpoint that makes an upstream unusable although it answers live calls,
// or usable although it fails them.
func TestHealthTracker(t *testing.T) {
	h := NewHealthTracker()
	for i := range 100 {
		h.RecordCall(start, true)
		h.RecordProbe(false)
		if !h.Usable(start.Add(callPrecedence - 1)) {
			t.Fatalf("failed probe %d overrides a recent successful call", i)
		}
	}
	if h.Usable(start.Add(callPrecedence)) {
		t.Error("usable without a recent call although probes fail")
	}
	for range callFailureLimit {
		h.RecordCall(start, false)
	}
	h.RecordProbe(true)
	if h.Usable(start) {
		t.Error("a successful probe overrides recent failed calls")
	}
	if !h.Usable(start.Add(callPrecedence)) {
		t.Error("not usable although probes succeed and the last call is old")
	}
}

// TestProber guards against losing probe results when an endpoint hangs, is wrong or returns malformed data.
func TestProber(t *testing.T) {
	tests := []struct {
		name, load string
		health     int
		want       string
	}{
		{"good", `{"in_flight":3,"queued":2}`, 200, "true 3 2 true"},
		{"unhealthy", `{"in_flight":3,"queued":2}`, 503, "false 3 2 true"},
		{"nonsense", `{"in_flight":-3}`, 200, "true 0 0 false"},
		{"hangs", "", 200, "true 0 0 false"},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				w.WriteHeader(tt.health)
				return
			}
			if tt.load == "" {
				<-r.Context().Done()
			}
			_, _ = io.WriteString(w, tt.load)
		}))
		results := make(chan ProbeResult, 100)
		p := NewProber(server.Listener.Addr().String(), func(r ProbeResult) { results <- r }, WithProbeInterval(time.Millisecond), WithProbeTimeout(time.Second))
		r := <-results
		inFlight, queued, ok := r.Load()
		if got := fmt.Sprint(r.Healthy(), inFlight, queued, ok); got != tt.want || r.At().IsZero() {
			t.Errorf("%s: result = %s, want %s", tt.name, got, tt.want)
		}
		p.Stop()
		server.Close()
	}
}

// TestRegistryDelayedStart guards against refusing a live upstream for ever because one of its announcements was delayed,
// so that its computed start time was too late, and against accepting a delayed announcement of a replaced process while
// its successor is alive.
func TestRegistryDelayedStart(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	announce := func(r *Registry, now, sent time.Duration, age time.Duration) error {
		body := fmt.Sprintf(`{"upstream_id": "u", "service": "s", "address": "127.0.0.1:80", "slots": 1, "connections": 2,
			"state": "ready", "started_ms_ago": %d}`, (sent + age).Milliseconds())
		a, err := ParseAnnouncement(at(now), strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		return r.Announce(at(now), a)
	}
	const age = 10 * time.Second // Age of the upstream at begin.
	r := NewRegistry()
	// The first announcement is sent at 0 s and read by a frozen node at 2.4 s.
	for _, c := range []struct {
		now, sent time.Duration
		accepted  bool
	}{
		{2400 * time.Millisecond, 0, true},
		{3 * time.Second, 3 * time.Second, false},
		{4 * time.Second, 4 * time.Second, true},
		{5 * time.Second, 5 * time.Second, true},
	} {
		if err := announce(r, c.now, c.sent, age); (err == nil) != c.accepted {
			t.Errorf("announcement sent at %s and read at %s: %v, want accepted: %t", c.sent, c.now, err, c.accepted)
		}
	}
	r = NewRegistry()
	// The successor started at 0 s and sends a heartbeat every second.
	for i := range 5 {
		now := time.Duration(i+1) * time.Second
		if err := announce(r, now, now, 0); err != nil {
			t.Errorf("successor: %v", err)
		}
		for _, late := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
			err := announce(r, now+late, 0, age)
			if e, ok := errors.AsType[*Error](err); !ok || e.Kind() != KindGone {
				t.Errorf("delayed announcement of the replaced process: %v, want KindGone", err)
			}
		}
	}
}

// TestRegistryQuickRestart guards against taking an upstream that restarts under the same id soon after its last start for
// its former process, which has left or whose announcements arrive out of order.
func TestRegistryQuickRestart(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	const first, second = 0, 1500 * time.Millisecond // Start times of the two processes.
	announceTime := func(r *Registry, now, start time.Duration, sequence uint64) error {
		a, err := NewAnnouncement("u", "s", "127.0.0.1:80", 1, 2, WithStart(at(start)), WithSequence(sequence))
		if err != nil {
			t.Fatal(err)
		}
		return r.Announce(at(now), a)
	}
	announceAge := func(r *Registry, now, start time.Duration) error {
		body := fmt.Sprintf(`{"upstream_id": "u", "service": "s", "address": "127.0.0.1:80", "slots": 1, "connections": 2,
			"state": "ready", "started_ms_ago": %d}`, (now - start).Milliseconds())
		a, err := ParseAnnouncement(at(now), strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		return r.Announce(at(now), a)
	}
	for _, leaves := range []bool{false, true} {
		for _, c := range []struct {
			name     string
			announce func(r *Registry, now, start time.Duration, sequence uint64) error
		}{
			{"start as a time", announceTime},
			{"start as an age", func(r *Registry, now, start time.Duration, _ uint64) error { return announceAge(r, now, start) }},
		} {
			r := NewRegistry()
			if err := c.announce(r, 100*time.Millisecond, first, 1); err != nil {
				t.Fatal(err)
			}
			if err := c.announce(r, time.Second, first, 9); err != nil {
				t.Fatal(err)
			}
			if leaves {
				r.Leave(at(1200*time.Millisecond), "u")
			}
			if err := c.announce(r, 1600*time.Millisecond, second, 1); err != nil {
				t.Errorf("%s, leaves: %t: the restarted upstream is refused: %v", c.name, leaves, err)
			}
		}
	}
}

// TestVerification guards against an upstream that has left and gets calls because of a late announcement after a restart of its
// node, and against an upstream that is up and gets none.
func TestVerification(t *testing.T) {
	const limit = defaultHeartbeatLimit
	start := time.UnixMilli(1_800_000_000_000)
	announce := func(id string, born int64, sequence uint64, options ...AnnouncementOption) Announcement {
		options = append(options, WithSequence(sequence))
		if born > 0 {
			options = append(options, WithStart(time.UnixMilli(born)))
		}
		a, err := NewAnnouncement(id, "quotes", "127.0.0.1:9", 6, 8, options...)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	verify := func(r *Registry) {
		if a, ok := r.Pending(); ok {
			r.Verify(a)
		}
	}
	type step struct {
		after    time.Duration // Since start.
		announce Announcement
		then     func(*Registry) // Nil: nothing.
		shown    bool
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"one announcement", []step{{0, announce("u", 7, 3), nil, false}}},
		{"late announcements", []step{{0, announce("u", 7, 3), nil, false}, {limit - 1, announce("u", 7, 4), nil, false}}},
		{"announcements for the limit", []step{{0, announce("u", 7, 3), nil, false}, {limit, announce("u", 7, 4), nil, true}}},
		{"verified", []step{{0, announce("u", 7, 3), verify, true}, {1, announce("u", 7, 4), nil, true}}},
		{"found by the node, then announced", []step{{0, announce("u", 0, 0, WithVerified()), nil, true}, {1, announce("u", 7, 4), nil, true}}},
		{"drains", []step{{0, announce("u", 7, 3, WithState(StateDraining)), nil, true}}},
		{"another process under the id", []step{{0, announce("u", 7, 3), verify, true}, {1, announce("u", 8, 1), nil, false}, {2, announce("u", 8, 2), verify, true}}},
		{"another process is verified meanwhile", []step{{0, announce("u", 7, 3), nil, false},
			{1, announce("u", 8, 1), func(r *Registry) { r.Verify(announce("u", 7, 3)) }, false}}},
		{"failed meanwhile", []step{{0, announce("u", 7, 3), func(r *Registry) { r.MarkFailed("u"); r.Verify(announce("u", 7, 3)) }, true}, {1, announce("u", 7, 4), nil, false}}},
		{"first announced later", []step{{time.Minute + 1, announce("u", 7, 3), nil, true}}},
	} {
		r := NewRegistry(WithVerification(start.Add(time.Minute)))
		for i, s := range c.steps {
			if err := r.Announce(start.Add(s.after), s.announce); err != nil {
				t.Fatalf("%s, step %d: %v", c.name, i, err)
			}
			if s.then != nil {
				s.then(r)
			}
			if _, _, shown := r.Current(); shown != s.shown {
				t.Errorf("%s, step %d: shown %t, want %t", c.name, i, shown, s.shown)
			}
			_, pending := r.Pending()
			select {
			case <-r.Unverified():
			default:
				if pending {
					t.Errorf("%s, step %d: nobody is told that the upstream is to be verified", c.name, i)
				}
			}
		}
	}
}
