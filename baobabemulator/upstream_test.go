package baobabemulator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func startUpstream(t *testing.T, options ...UpstreamOption) *Upstream {
	t.Helper()
	before := goleak.IgnoreCurrent()
	u := NewUpstream("u1", "quotes", options...)
	if err := u.Start(); err != nil {
		t.Fatalf("Start: %v", err)
	}
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	t.Cleanup(u.Close)
	return u
}

type upstreamResponse struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// callUpstream sends one request on a new connection.
func callUpstream(ctx context.Context, u *Upstream, method, target string, header http.Header, body string) upstreamResponse {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address()+target, strings.NewReader(body))
	if err != nil {
		return upstreamResponse{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Close = true
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		return upstreamResponse{err: err}
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return upstreamResponse{status: response.StatusCode, header: response.Header, body: b, err: err}
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// TestUpstreamAnswers guards against answers whose request or completeness a test cannot verify.
func TestUpstreamAnswers(t *testing.T) {
	u := startUpstream(t)
	tests := []struct {
		name, target string
		status, size int
		truncated    bool
		result       UpstreamResult
	}{
		{"plain", "/a?b=c", 200, 0, false, UpstreamCompleted},
		{"size", "/a?size=100000", 200, 100000, false, UpstreamCompleted},
		{"pieces", "/a?size=5000&pieces=5&piece_interval_ms=1", 200, 5000, false, UpstreamCompleted},
		{"truncated", "/a?size=5000&truncate=1", 200, 2500, true, UpstreamTruncated},
		{"truncated pieces", "/a?size=5000&pieces=4&truncate=1", 200, 2500, true, UpstreamTruncated},
		{"fast error", "/a?fail=500", 500, 0, false, UpstreamFailed},
	}
	for i, tt := range tests {
		header := http.Header{"Baobab-Call-Id": {fmt.Sprint("c", i)}, "Idempotency-Key": {"k"}}
		r := callUpstream(t.Context(), u, "POST", tt.target, header, "hello")
		if (r.err != nil) != tt.truncated || r.status != tt.status || (tt.size > 0 && len(r.body) != tt.size) {
			t.Errorf("%s: status %d, %d bytes, %v", tt.name, r.status, len(r.body), r.err)
		}
		run := u.History().Runs()[i]
		want := sha256.Sum256([]byte("hello"))
		if run.CallID != fmt.Sprint("c", i) || run.Key != "k" || run.Path != tt.target || run.BodyDigest != hex.EncodeToString(want[:]) {
			t.Errorf("%s: run = %+v", tt.name, run)
		}
		waitUntil(t, tt.name+" ends", func() bool { return u.History().Runs()[i].Result == tt.result })
		if tt.truncated || tt.status != 200 {
			continue
		}
		digest := sha256.Sum256(r.body)
		if r.header.Get("Emulator-Body-Sha256") != hex.EncodeToString(digest[:]) {
			t.Errorf("%s: body does not match its digest", tt.name)
		}
		line, _, _ := bytes.Cut(r.body, []byte("\n"))
		var a UpstreamAnswer
		if err := json.Unmarshal(line, &a); err != nil || a.CallID != run.CallID || a.BodyDigest != run.BodyDigest || a.Serial != int64(i+1) {
			t.Errorf("%s: answer = %+v, %v", tt.name, a, err)
		}
	}
}

// TestUpstreamSlots guards against more concurrent runs than slots, and against calls that are both shed and run.
func TestUpstreamSlots(t *testing.T) {
	b := DefaultUpstreamBehaviour()
	b.Slots, b.QueueLimit, b.ServiceMs = 2, 2, 30_000
	u := startUpstream(t, WithUpstreamBehaviour(b))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { callUpstream(ctx, u, "GET", "/", nil, "") })
	}
	waitUntil(t, "2 running and 2 queued", func() bool {
		l := u.slots.loadAt(time.Now())
		return l.inFlight == 2 && l.queued == 2
	})
	if r := callUpstream(t.Context(), u, "GET", "/", nil, ""); r.status != 503 || r.header.Get("Baobab-Not-Started") != "1" {
		t.Errorf("call with a full queue: status %d, header %v", r.status, r.header)
	}
	header := http.Header{"Baobab-Timeout-Ms": {"0"}}
	if r := callUpstream(t.Context(), u, "GET", "/", header, ""); r.status != 503 {
		t.Errorf("call with an expired deadline: status %d", r.status)
	}
	cancel()
	group.Wait()
	waitUntil(t, "idle", u.slots.idle)
	for _, run := range u.History().Runs() {
		if run.Result != UpstreamCancelled {
			t.Errorf("run = %+v, want cancelled", run)
		}
	}
	if n := len(u.History().Runs()); n < 2 || n > 4 {
		t.Errorf("%d runs, want 2 to 4 of the 6 calls", n)
	}
}

// TestUpstreamDeadline guards against a call that continues after Baobab-Timeout-Ms, and against an empty answer that
// looks complete.
func TestUpstreamDeadline(t *testing.T) {
	u := startUpstream(t)
	r := callUpstream(t.Context(), u, "GET", "/?delay_ms=60000", http.Header{"Baobab-Timeout-Ms": {"5"}}, "")
	if r.status != http.StatusGatewayTimeout && r.status != http.StatusServiceUnavailable {
		t.Errorf("status = %d, %v", r.status, r.err)
	}
}

// TestUpstreamBehaviourAPI guards against changes that reset other fields, and against health and load endpoints that
// ignore the configured values.
func TestUpstreamBehaviourAPI(t *testing.T) {
	u := startUpstream(t)
	if r := callUpstream(t.Context(), u, "POST", "/v1/behaviour", nil, `{"healthy":false,"load_in_flight":99,"probe_ms":0}`); r.status != 200 {
		t.Fatalf("behaviour: status %d, %s", r.status, r.body)
	}
	if r := callUpstream(t.Context(), u, "POST", "/v1/behaviour", nil, `{"unknown":1}`); r.status != 400 {
		t.Errorf("unknown field: status %d", r.status)
	}
	if b := u.Behaviour(); b.Slots != 6 || b.Healthy {
		t.Errorf("behaviour = %+v", b)
	}
	if r := callUpstream(t.Context(), u, "GET", "/health", nil, ""); r.status != 503 {
		t.Errorf("health: status %d", r.status)
	}
	if r := callUpstream(t.Context(), u, "GET", "/load", nil, ""); !bytes.Contains(r.body, []byte(`"in_flight":99`)) {
		t.Errorf("load = %s", r.body)
	}
	if n := len(u.History().Runs()); n != 0 {
		t.Errorf("%d runs recorded for the control API", n)
	}
}

// TestUpstreamLoadLag guards against a load endpoint that reports the current load although a lag is configured.
func TestUpstreamLoadLag(t *testing.T) {
	b := DefaultUpstreamBehaviour()
	s := &upstreamSlots{behaviour: func() UpstreamBehaviour { return b }}
	s.acquire(t.Context())
	acquiredAt := time.Now()
	if l := s.loadAt(acquiredAt); l.inFlight != 1 {
		t.Errorf("current load = %+v", l)
	}
	if l := s.loadAt(acquiredAt.Add(-time.Second)); l.inFlight != 0 {
		t.Errorf("load a second ago = %+v", l)
	}
}

// TestUpstreamColdStart guards against a start without a warm-up phase, and against service times that the seed does not
// determine.
func TestUpstreamColdStart(t *testing.T) {
	b := DefaultUpstreamBehaviour()
	b.ServiceMs, b.WarmUpMs, b.ColdFactor = 10, 1000, 5
	for _, tt := range []struct{ age, want time.Duration }{
		{0, 50 * time.Millisecond}, {500 * time.Millisecond, 30 * time.Millisecond}, {time.Second, 10 * time.Millisecond},
	} {
		if got := b.drawServiceTime(nil, tt.age); got != tt.want {
			t.Errorf("service time at age %v = %v, want %v", tt.age, got, tt.want)
		}
	}
	b.Distribution = UpstreamExponential
	one := NewUpstream("u1", "s", WithUpstreamBehaviour(b), WithUpstreamSeed(7))
	two := NewUpstream("u2", "s", WithUpstreamBehaviour(b), WithUpstreamSeed(7))
	one.startedAt, two.startedAt = time.Time{}, time.Time{}
	if a, b := one.drawServiceTime(), two.drawServiceTime(); a != b {
		t.Errorf("service times with the same seed differ: %v, %v", a, b)
	}
}

// TestUpstreamCrash guards against a crash that loses the record of its run or answers the caller.
func TestUpstreamCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.jsonl")
	u := startUpstream(t, WithUpstreamHistoryFile(path))
	if r := callUpstream(t.Context(), u, "POST", "/?crash=1", http.Header{"Baobab-Call-Id": {"c1"}}, "x"); r.err == nil {
		t.Errorf("crash answered with status %d", r.status)
	}
	if conn, err := net.Dial("tcp", u.Address()); err == nil {
		_ = conn.Close()
		t.Error("crashed upstream accepts connections")
	}
	waitUntil(t, "record of the crash", func() bool {
		b, _ := os.ReadFile(path)
		return bytes.Count(b, []byte("\n")) == 2
	})
	b, _ := os.ReadFile(path)
	if !bytes.Contains(b, []byte(`"result":"running"`)) || !bytes.Contains(b, []byte(`"result":"crashed"`)) {
		t.Errorf("history file = %s", b)
	}
	exits := make(chan int, 1)
	v := startUpstream(t, WithUpstreamExit(func(code int) { exits <- code }))
	callUpstream(t.Context(), v, "GET", "/?crash=1", nil, "")
	if code := <-exits; code != 1 {
		t.Errorf("exit code = %d", code)
	}
}

// TestUpstreamConnections guards against accepting connections above the limit.
func TestUpstreamConnections(t *testing.T) {
	u := startUpstream(t, WithUpstreamConnections(2))
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range 3 {
		conn, err := net.Dial("tcp", u.Address())
		if err != nil {
			t.Fatalf("Dial: %v", err)
		}
		conns = append(conns, conn)
	}
	if _, err := bufio.NewReader(conns[2]).ReadByte(); err == nil {
		t.Error("third connection is not closed")
	}
	if u.PeakConnections() != 2 || u.RefusedConnections() != 1 {
		t.Errorf("peak %d, refused %d", u.PeakConnections(), u.RefusedConnections())
	}
}

// TestUpstreamAnnouncements guards against an upstream that does not announce itself, or that leaves without draining.
func TestUpstreamAnnouncements(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			State   string `json:"state"`
			Slots   int    `json:"slots"`
			Address string `json:"address"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, r.Method+" "+r.URL.RequestURI()+" "+body.State)
		if r.Method == http.MethodPost && (body.Slots != 6 || body.Address == "127.0.0.1:0") {
			t.Errorf("announcement = %+v", body)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer node.Close()
	u := startUpstream(t, WithUpstreamNode(node.URL))
	last := func() string {
		mu.Lock()
		defer mu.Unlock()
		if len(seen) == 0 {
			return ""
		}
		return seen[len(seen)-1]
	}
	waitUntil(t, "announcement", func() bool { return last() == "POST /v1/announce ready" })
	u.Drain()
	waitUntil(t, "drain", func() bool { return last() == "POST /v1/announce draining" })
	if err := u.Stop(t.Context()); err != nil {
		t.Errorf("Stop: %v", err)
	}
	if got := last(); got != "DELETE /v1/announce?upstream_id=u1 " {
		t.Errorf("last request = %q", got)
	}
}
