package baobabproof

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// smallMeshSpec returns the specification of a small mesh: three services in two failure domains.
func smallMeshSpec(t *testing.T, options ...baobabemulator.MeshOption) *baobabemulator.MeshSpec {
	t.Helper()
	return baobabemulator.NewMeshSpec(2, []baobabemulator.MeshService{
		baobabemulator.NewMeshService("availability", 2, 6, 130, 4*time.Millisecond),
		baobabemulator.NewMeshService("deposits", 2, 6, 130, 4*time.Millisecond),
		baobabemulator.NewMeshService("session-records", 1, 6, 130, 4*time.Millisecond),
	}, append([]baobabemulator.MeshOption{
		baobabemulator.WithMeshProxies(), baobabemulator.WithMeshSeed(newSeed(t)),
	}, options...)...)
}

// response is an HTTP response as a client received it.
type response struct {
	status int
	header http.Header
	body   string
}

// send sends one HTTP request on a new connection. On an error it fails the test and returns an empty response.
func send(ctx context.Context, t *testing.T, method, url, body string, header map[string]string) response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	request.GetBody = nil
	for name, value := range header {
		request.Header[name] = []string{value}
	}
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("%s %s: %v", method, url, err)
		return response{}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Errorf("%s %s: %v", method, url, err)
	}
	return response{status: r.StatusCode, header: r.Header, body: string(b)}
}

// metricValue returns the value of a metric of a node, and whether the node exports it.
func metricValue(t *testing.T, n *baobabemulator.MeshNode, name string) (float64, bool) {
	t.Helper()
	for line := range strings.Lines(scrapeMetrics(t, n)) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil {
				t.Fatal(err)
			}
			return v, true
		}
	}
	return 0, false
}

func scrapeMetrics(t *testing.T, n *baobabemulator.MeshNode) string {
	t.Helper()
	return send(testContext(t), t, http.MethodGet, "http://"+n.OperatorAddress()+"/metrics", "", nil).body
}

// waitUntil polls a condition until it holds, and fails the test if ctx ends first.
func waitUntil(ctx context.Context, t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("wait for %s: %v", what, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// waitAnswered repeats a call through a node until it is answered; on a busy machine some attempts miss their deadline.
func waitAnswered(ctx context.Context, t *testing.T, c *baobabemulator.Caller, n *baobabemulator.MeshNode, path string) {
	t.Helper()
	waitUntil(ctx, t, "an answer to "+path+" through "+n.ID(), func() bool {
		r := c.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: path})
		return r.Answered()
	})
}

// applyAndWaitServing applies the example configuration and waits until every node gets answers from every service.
func applyAndWaitServing(t *testing.T, m *baobabemulator.Mesh) {
	t.Helper()
	applyExample(t, m, "booking")
	caller := baobabemulator.NewCaller("start")
	defer caller.Close()
	for _, n := range m.Nodes() {
		for _, path := range []string{"/availability", "/deposits", "/session-records"} {
			waitAnswered(testContext(t), t, caller, n, path)
		}
	}
}

// countLogLines returns the number of lines in a node's log that contain all of the texts.
func countLogLines(t *testing.T, n *baobabemulator.MeshNode, texts ...string) int {
	t.Helper()
	data, err := os.ReadFile(n.NodeProcess().LogFile())
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for line := range strings.Lines(string(data)) {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			count++
		}
	}
	return count
}

// TestLimits guards against requests that exceed a limit and are served, refused without a reason, or not counted, and
// against undocumented metrics.
func TestLimits(t *testing.T) {
	m := startUnconfiguredMesh(t, smallMeshSpec(t, baobabemulator.WithMeshNodeSettings(
		"[limits]\nmax_header_size = 4KiB\nmax_body_size = 32KiB\nmax_message_size = 64KiB\nmax_calls = 2\n[balance]\ngrant_body_size = 8KiB\n")))
	applyAndWaitServing(t, m)
	ctx, n := testContext(t), m.Nodes()[0]
	const refusals = `baobab_caller_refusals_total{reason=%q,outcome="not_run"}`
	overSize, malformed := fmt.Sprintf(refusals, "over_size"), fmt.Sprintf(refusals, "malformed")
	for _, c := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		reason, metric           string
	}{
		{"header", "GET", "/availability", "", map[string]string{"Big": strings.Repeat("a", 4<<10)}, 413, "over_size", overSize},
		{"huge header", "GET", "/availability", "", map[string]string{"Big": strings.Repeat("a", 60<<10)}, 431, "", `baobab_caller_unread_total{cause="over_size"}`},
		{"body", "POST", "/deposits", strings.Repeat("a", 32<<10+1), map[string]string{"Idempotency-Key": "b"}, 413, "over_size", overSize},
		{"timeout", "GET", "/availability", "", map[string]string{"Baobab-Timeout-Ms": "soon"}, 400, "malformed", malformed},
		{"no route", "GET", "/nowhere", "", nil, 404, "no_route", fmt.Sprintf(refusals, "no_route")},
		{"no key", "POST", "/deposits", "", nil, 400, "key_required", fmt.Sprintf(refusals, "key_required")},
		{"largest body", "POST", "/deposits", strings.Repeat("a", 32<<10), map[string]string{"Idempotency-Key": "c"}, 200, "", `baobab_caller_answers_total{outcome="ran"}`},
	} {
		before, ok := metricValue(t, n, c.metric)
		if !ok {
			t.Errorf("%s: metric %s does not exist from the start", c.name, c.metric)
		}
		r := send(ctx, t, c.method, n.EntryURL()+c.path, c.body, c.header)
		if r.status != c.status || r.header.Get("Baobab-Refusal") != c.reason {
			t.Errorf("%s: status %d, refusal %q, body %.100q; want %d, %q", c.name, r.status, r.header.Get("Baobab-Refusal"), r.body, c.status, c.reason)
		}
		if c.reason != "" && (r.header.Get("Baobab-Outcome") != "not_run" || !strings.Contains(r.body, `"detail":"`)) {
			t.Errorf("%s: outcome %q, body %.100q; want not_run with a detail", c.name, r.header.Get("Baobab-Outcome"), r.body)
		}
		if after, _ := metricValue(t, n, c.metric); after != before+1 {
			t.Errorf("%s: %s rose from %v to %v, want one more", c.name, c.metric, before, after)
		}
	}
	checkMaxCalls(t, m, n)
	checkMetricsDocs(t, n)
}

// checkMaxCalls keeps max_calls calls in progress and checks that one more is refused.
func checkMaxCalls(t *testing.T, m *baobabemulator.Mesh, n *baobabemulator.MeshNode) {
	t.Helper()
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	// A warming upstream starts with a quarter of its 6 slots; the slow calls need two.
	waitUntil(ctx, t, "two slots", func() bool {
		limit, ok := metricValue(t, m.NodesOfService("session-records")[0], "baobab_admission_limit")
		return ok && limit >= 2
	})
	slow := make(chan response, 2)
	for number := range 2 {
		go func() {
			slow <- send(ctx, t, http.MethodGet, n.EntryURL()+"/session-records?delay_ms=5000", "", nil)
		}()
		waitInFlight(ctx, t, m.NodesOfService("session-records"), number+1)
	}
	r := send(ctx, t, http.MethodGet, n.EntryURL()+"/availability", "", nil)
	if r.status != http.StatusTooManyRequests || r.header.Get("Baobab-Refusal") != "queue_full" || r.header.Get("Retry-After") == "" {
		t.Errorf("call beyond max_calls: status %d, header %v; want queue_full with Retry-After", r.status, r.header)
	}
	for range 2 {
		if r := <-slow; r.status != http.StatusOK {
			t.Errorf("call within max_calls: status %d, body %.100q", r.status, r.body)
		}
	}
}

// waitInFlight waits until the given nodes have exactly count admitted calls in flight, all together.
func waitInFlight(ctx context.Context, t *testing.T, nodes []*baobabemulator.MeshNode, count int) {
	t.Helper()
	waitUntil(ctx, t, fmt.Sprintf("%d calls in flight", count), func() bool {
		total := 0.0
		for _, n := range nodes {
			v, _ := metricValue(t, n, "baobab_admission_in_flight")
			total += v
		}
		return total == float64(count)
	})
}

// checkMetricsDocs checks that docs/OPERATIONS.md lists exactly the metrics that a node exports, apart from those that
// it describes as exported only from their first event.
func checkMetricsDocs(t *testing.T, n *baobabemulator.MeshNode) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	exported := map[string]bool{}
	for _, name := range regexp.MustCompile(`(?m)^baobab_[a-z_]+`).FindAllString(scrapeMetrics(t, n), -1) {
		name = strings.TrimSuffix(strings.TrimSuffix(name, "_sum"), "_count")
		exported[name] = true
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(baobab_[a-z_]+).*").FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
		if !exported[row[1]] && !strings.Contains(row[0], "from the first") {
			t.Errorf("docs/OPERATIONS.md has %s, which the node does not export", row[1])
		}
	}
	for name := range exported {
		if !documented[name] {
			t.Errorf("docs/OPERATIONS.md does not have %s", name)
		}
	}
}

// A rawPeerLink is an authenticated peer link on which a test sends frames that no node sends.
type rawPeerLink struct {
	conn    net.Conn
	session *yamux.Session
}

// dialRawPeerLink opens a peer link and authenticates it with the shared key, following the handshake of baobabpeer.
func dialRawPeerLink(address string, key []byte) (*rawPeerLink, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	hello := append([]byte("baobab01"), bytes.Repeat([]byte{7}, 32)...)
	reply := make([]byte, 64)
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, reply); err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte("baobab01"), []byte("dialler"), hello[8:], reply[:32]} {
		mac.Write(part)
	}
	if _, err := conn.Write(mac.Sum(nil)); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, reply[:1]); err != nil {
		return nil, err
	}
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	// Nodes close links that are idle for a few seconds.
	config.KeepAliveInterval = 200 * time.Millisecond
	session, err := yamux.Client(conn, config)
	return &rawPeerLink{conn: conn, session: session}, err
}

// sendFrame opens a stream and sends one frame. The node may close the link before yamux reports the frame as sent, so
// a closed session is no error; the node's counter shows whether the frame arrived.
func (l *rawPeerLink) sendFrame(frame []byte) error {
	s, err := l.session.OpenStream()
	if err != nil {
		return err
	}
	if _, err = s.Write(frame); errors.Is(err, yamux.ErrSessionShutdown) {
		return nil
	}
	return err
}

// TestMalformedPeerMessage guards against a malformed message that closes links other than its own, and against one
// that is accepted.
func TestMalformedPeerMessage(t *testing.T) {
	m := startUnconfiguredMesh(t, smallMeshSpec(t))
	applyAndWaitServing(t, m)
	ctx, n := testContext(t), m.Nodes()[0]
	key, err := os.ReadFile(filepath.Join(filepath.Dir(m.TokenFile()), "peer.key"))
	if err != nil {
		t.Fatal(err)
	}
	otherLink, err := dialRawPeerLink(n.PeerProxy().Address(), key)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = otherLink.session.Close() }()
	caller := baobabemulator.NewCaller("peer")
	defer caller.Close()
	for _, c := range []struct {
		name, reason string
		frame        []byte
	}{
		{"unknown type", "malformed", []byte{99, 0, 0, 0, 1, 0}},
		{"no message", "malformed", []byte{1, 0, 0, 0, 3, 255, 255, 255}},
		{"over-long", "oversize", []byte{1, 127, 255, 255, 255}},
	} {
		l, err := dialRawPeerLink(n.PeerProxy().Address(), key)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		name := fmt.Sprintf("baobab_peer_refused_total{reason=%q}", c.reason)
		before, _ := metricValue(t, n, name)
		if err := l.sendFrame(c.frame); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		select {
		case <-l.session.CloseChan():
		case <-ctx.Done():
			t.Fatalf("%s: the link is still open", c.name)
		}
		if after, _ := metricValue(t, n, name); after != before+1 {
			t.Errorf("%s: %s rose from %v to %v, want one more", c.name, name, before, after)
		}
		if _, err := otherLink.session.Ping(); err != nil {
			t.Errorf("%s: another link was closed: %v", c.name, err)
		}
		// The entry nodes serve another service, so the calls need the links between nodes.
		for _, entry := range m.NodesOfService("deposits") {
			waitAnswered(ctx, t, caller, entry, "/availability")
		}
	}
	checkHistories(t, m, caller.Records())
}

// TestPeerAuthentication guards against a node that joins the mesh with a wrong key or a certificate from another
// authority, and against a log line for each of its attempts.
func TestPeerAuthentication(t *testing.T) {
	dir := t.TempDir()
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	wrongKey := filepath.Join(dir, "wrong.key")
	if err := os.WriteFile(wrongKey, []byte("another key that is long enough"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name         string
		right, wrong func(id string) string
	}{
		{"key", func(string) string { return "key_file = peer.key" }, func(string) string { return "key_file = " + wrongKey }},
		{"certificate",
			func(id string) string { return own.issue(t, dir, id, own) },
			// The node trusts the other nodes, so only they can refuse the link.
			func(id string) string { return other.issue(t, dir, id, own) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := startUnconfiguredMesh(t, smallMeshSpec(t, baobabemulator.WithMeshCredentials(c.right)))
			applyAndWaitServing(t, m)
			ctx, nodes := testContext(t), m.Nodes()
			caller := baobabemulator.NewCaller("authentication")
			defer caller.Close()
			serve := func(nodes []*baobabemulator.MeshNode, path string) {
				t.Helper()
				for _, n := range nodes {
					waitAnswered(ctx, t, caller, n, path)
				}
			}
			serve(m.NodesOfService("deposits"), "/availability")
			serve(m.NodesOfService("availability"), "/deposits")

			refusedNode := nodes[len(nodes)-1]
			replaceSetting(t, refusedNode, c.right(refusedNode.ID()), c.wrong(refusedNode.ID()))
			if err := refusedNode.NodeProcess().Restart(); err != nil {
				t.Fatal(err)
			}
			const refused = `baobab_peer_refused_total{reason="proof"}`
			waitUntil(ctx, t, "three refusals", func() bool {
				total := 0.0
				for _, n := range nodes[:len(nodes)-1] {
					v, _ := metricValue(t, n, refused)
					total += v
				}
				return total >= 3
			})
			for _, n := range nodes[:len(nodes)-1] {
				v, _ := metricValue(t, n, refused)
				if lines := countLogLines(t, n, "link refused", "127.0.0.1"); v > 0 && lines > 1 {
					t.Errorf("%s logged %d lines for %v refused links from one host, want 1", n.ID(), lines, v)
				}
			}
			r := send(ctx, t, http.MethodGet, refusedNode.EntryURL()+"/availability", "", nil)
			if r.header.Get("Baobab-Outcome") != "not_run" {
				t.Errorf("call through the refused node: status %d, outcome %q; want not_run", r.status, r.header.Get("Baobab-Outcome"))
			}
			serve(m.NodesOfService("deposits")[:1], "/availability")
			serve(m.NodesOfService("availability"), "/deposits")
		})
	}
}

// replaceSetting replaces text in the settings file of a node.
func replaceSetting(t *testing.T, n *baobabemulator.MeshNode, from, to string) {
	t.Helper()
	data, err := os.ReadFile(n.SettingsFile())
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), from, to, 1)
	if changed == string(data) {
		t.Fatalf("settings of %s do not contain %q", n.ID(), from)
	}
	if err := os.WriteFile(n.SettingsFile(), []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
}
