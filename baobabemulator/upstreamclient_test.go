package baobabemulator

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	"github.com/baobabdale/baobabdale/baobabupstream"
)

// clientResultName returns a name for the result of a call by the product's upstream client.
func clientResultName(r baobabupstream.Result) string {
	switch r := r.(type) {
	case *baobabupstream.Answered:
		defer r.Answer().Body().Close()
		if _, err := io.ReadAll(r.Answer().Body()); err != nil {
			return "truncated"
		}
		return "answered"
	case baobabupstream.Refused:
		return "refused"
	case baobabupstream.NotSent:
		return "not sent"
	case baobabupstream.ConnectionFailed:
		return "connection failed"
	case baobabupstream.DeadlineExceeded:
		if !r.Sent() {
			return "deadline, not sent"
		}
		return "deadline"
	default:
		return "cancelled"
	}
}

// TestUpstreamWithClient guards against an emulated upstream that is incompatible with the product's announcement API or
// upstream client. It covers the announcement and each result of a call.
func TestUpstreamWithClient(t *testing.T) {
	registry := baobabupstream.NewRegistry()
	node := httptest.NewServer(baobabupstream.NewAnnouncementHandler(registry))
	defer node.Close()
	u := startUpstream(t, WithUpstreamNode(node.URL), WithUpstreamConnections(4), WithUpstreamLabels(map[string]string{"tier": "1"}))
	state := func() baobabupstream.State {
		_, s, _ := registry.Current()
		return s
	}
	waitUntil(t, "announcement", func() bool { return state() == baobabupstream.StateReady })
	a, _, _ := registry.Current()
	if a.UpstreamID() != "u1" || a.Service() != "quotes" || a.Slots() != 6 || a.Connections() != 4 || a.Labels()["tier"] != "1" {
		t.Errorf("announcement = %+v", a)
	}
	client := baobabupstream.NewClient(a.Address(), a.Connections())
	defer client.Close()
	tests := []struct {
		target, want string
		timeout      time.Duration
		runs         int
	}{
		{"/?size=100000", "answered", time.Minute, 1},
		{"/?size=100000&pieces=10&piece_interval_ms=1", "answered", time.Minute, 1},
		{"/?fail=500", "answered", time.Minute, 1},
		{"/?size=100000&truncate=1", "truncated", time.Minute, 1},
		{"/?delay_ms=60000", "deadline", 100 * time.Millisecond, 1},
		{"/", "deadline, not sent", 0, 0},
		{"/", "refused", time.Minute, 0},
		{"/?crash=1", "connection failed", time.Minute, 1},
		{"/", "not sent", time.Minute, 0},
	}
	for i, tt := range tests {
		b := DefaultUpstreamBehaviour()
		b.Shed = tt.want == "refused"
		// Client and upstream have the same deadline, so the upstream's answer to its expiry could arrive first.
		b.IgnoreTimeout = tt.want == "deadline"
		u.SetBehaviour(b)
		runsBefore := len(u.History().Runs())
		// With a body, a retry by the client shows up as a second run.
		k := call.NewCall(strings.Repeat("c", i+1), "caller", "POST", "svc", tt.target, call.WithBody([]byte("body")))
		now := time.Now()
		got := clientResultName(client.Do(t.Context(), now, k, now.Add(tt.timeout)))
		if got != tt.want || len(u.History().Runs())-runsBefore != tt.runs {
			t.Errorf("%s: %s with %d runs, want %s with %d", tt.target, got, len(u.History().Runs())-runsBefore, tt.want, tt.runs)
		}
	}
}

// TestUpstreamDeregisters guards against an upstream that stays announced after it has stopped.
func TestUpstreamDeregisters(t *testing.T) {
	registry := baobabupstream.NewRegistry()
	node := httptest.NewServer(baobabupstream.NewAnnouncementHandler(registry))
	defer node.Close()
	u := startUpstream(t, WithUpstreamNode(node.URL))
	waitUntil(t, "announcement", func() bool { _, _, ok := registry.Current(); return ok })
	u.Drain()
	waitUntil(t, "drain", func() bool { _, s, _ := registry.Current(); return s == baobabupstream.StateDraining })
	if err := u.Stop(t.Context()); err != nil {
		t.Errorf("Stop: %v", err)
	}
	if _, s, ok := registry.Current(); ok {
		t.Errorf("state after Stop = %s", s)
	}
}
