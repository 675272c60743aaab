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

// productSpec returns a small mesh of three services in two failure domains.
func productSpec(t *testing.T, options ...baobabemulator.MeshOption) *baobabemulator.MeshSpec {
	t.Helper()
	return baobabemulator.NewMeshSpec(2, []baobabemulator.MeshService{
		baobabemulator.NewMeshService("availability", 2, 6, 130, 4*time.Millisecond),
		baobabemulator.NewMeshService("deposits", 2, 6, 130, 4*time.Millisecond),
		baobabemulator.NewMeshService("session-records", 1, 6, 130, 4*time.Millisecond),
	}, append([]baobabemulator.MeshOption{
		baobabemulator.WithMeshProxies(), baobabemulator.WithMeshSeed(newSeed(t)),
	}, options...)...)
}

// response is what a client saw of one HTTP request.
type response struct {
	status int
	header http.Header
	body   string
}

// send sends one HTTP request on a connection of its own.
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

// metric returns the value of a metric of a node, and whether it exists.
func metric(t *testing.T, n *baobabemulator.MeshNode, name string) (float64, bool) {
	t.Helper()
	for line := range strings.Lines(metricsOf(t, n)) {
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

func metricsOf(t *testing.T, n *baobabemulator.MeshNode) string {
	t.Helper()
	return send(timeout(t), t, http.MethodGet, "http://"+n.OperatorAddress()+"/metrics", "", nil).body
}

// waitUntil fails the test if a condition does not hold in time.
func waitUntil(ctx context.Context, t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatalf("wait for %s: %v", what, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// waitAnswered waits until a call through a node is answered; on a busy machine some miss their deadline.
func waitAnswered(ctx context.Context, t *testing.T, c *baobabemulator.Caller, n *baobabemulator.MeshNode, path string) {
	t.Helper()
	waitUntil(ctx, t, "an answer to "+path+" through "+n.ID(), func() bool {
		r := c.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: path})
		return r.Answered()
	})
}

// applyAndServe brings the configuration in force and waits until each node has found the upstreams of each service.
func applyAndServe(t *testing.T, m *baobabemulator.Mesh) {
	t.Helper()
	applyExample(t, m, "booking")
	caller := baobabemulator.NewCaller("start")
	defer caller.Close()
	for _, n := range m.Nodes() {
		for _, path := range []string{"/availability", "/deposits", "/session-records"} {
			waitAnswered(timeout(t), t, caller, n, path)
		}
	}
}

// logLines returns the number of lines in a node's log that have all of the texts.
func logLines(t *testing.T, n *baobabemulator.MeshNode, texts ...string) int {
	t.Helper()
	data, err := os.ReadFile(n.NodeProcess().LogFile())
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for line := range strings.Lines(string(data)) {
		found := true
		for _, v := range texts {
			found = found && strings.Contains(line, v)
		}
		if found {
			count++
		}
	}
	return count
}

// TestLimits guards against requests beyond a limit that are served, refused without a reason, or not counted, and
// against metrics that operators cannot look up.
func TestLimits(t *testing.T) {
	m := startProcesses(t, productSpec(t, baobabemulator.WithMeshNodeSettings(
		"[limits]\nmax_header_size = 4KiB\nmax_body_size = 32KiB\nmax_message_size = 64KiB\nmax_calls = 2\n")))
	applyAndServe(t, m)
	ctx, n := timeout(t), m.Nodes()[0]
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
		before, ok := metric(t, n, c.metric)
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
		if after, _ := metric(t, n, c.metric); after != before+1 {
			t.Errorf("%s: %s rose from %v to %v, want one more", c.name, c.metric, before, after)
		}
	}
	checkMaxCalls(t, m, n)
	checkMetricsPage(t, n)
}

// checkMaxCalls holds as many calls as allowed and sends one more.
func checkMaxCalls(t *testing.T, m *baobabemulator.Mesh, n *baobabemulator.MeshNode) {
	t.Helper()
	ctx, cancel := context.WithCancel(timeout(t))
	defer cancel()
	// An upstream that has just started gets a quarter of its 6 slots at first; the calls that are held need two.
	waitUntil(ctx, t, "two slots", func() bool {
		limit, ok := metric(t, m.NodesOfService("session-records")[0], "baobab_admission_limit")
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
		t.Errorf("a call beyond max_calls: status %d, header %v; want queue_full with Retry-After", r.status, r.header)
	}
	for range 2 {
		if r := <-slow; r.status != http.StatusOK {
			t.Errorf("a call within max_calls: status %d, body %.100q", r.status, r.body)
		}
	}
}

// waitInFlight waits until the upstreams of the nodes run a number of calls.
func waitInFlight(ctx context.Context, t *testing.T, nodes []*baobabemulator.MeshNode, count int) {
	t.Helper()
	waitUntil(ctx, t, fmt.Sprintf("%d calls in flight", count), func() bool {
		total := 0.0
		for _, n := range nodes {
			v, _ := metric(t, n, "baobab_admission_in_flight")
			total += v
		}
		return total == float64(count)
	})
}

// checkMetricsPage compares the metrics of a node with docs/OPERATIONS.md in both directions.
func checkMetricsPage(t *testing.T, n *baobabemulator.MeshNode) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	exported := map[string]bool{}
	for _, name := range regexp.MustCompile(`(?m)^baobab_[a-z_]+`).FindAllString(metricsOf(t, n), -1) {
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

// A rawLink is an authenticated link on which a test sends what a node never sends.
type rawLink struct {
	conn    net.Conn
	session *yamux.Session
}

// dialRaw authenticates with the shared key as the protocol in baobabpeer does, or returns an error.
func dialRaw(address string, key []byte) (*rawLink, error) {
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
	// Nodes close links on which nothing arrives for some seconds.
	config.KeepAliveInterval = 200 * time.Millisecond
	session, err := yamux.Client(conn, config)
	return &rawLink{conn: conn, session: session}, err
}

// sendFrame opens a stream and sends one frame. The node may close the link before yamux has said that the frame was sent;
// that the frame has arrived shows in the node's counter.
func (l *rawLink) sendFrame(frame []byte) error {
	s, err := l.session.OpenStream()
	if err != nil {
		return err
	}
	if _, err = s.Write(frame); errors.Is(err, yamux.ErrSessionShutdown) {
		return nil
	}
	return err
}

// TestMalformedPeerMessage guards against a message that ends more than its own link, and against one that is taken.
func TestMalformedPeerMessage(t *testing.T) {
	m := startProcesses(t, productSpec(t))
	applyAndServe(t, m)
	ctx, n := timeout(t), m.Nodes()[0]
	key, err := os.ReadFile(filepath.Join(filepath.Dir(m.TokenFile()), "peer.key"))
	if err != nil {
		t.Fatal(err)
	}
	bystander, err := dialRaw(n.PeerProxy().Address(), key)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = bystander.session.Close() }()
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
		l, err := dialRaw(n.PeerProxy().Address(), key)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		name := fmt.Sprintf("baobab_peer_refused_total{reason=%q}", c.reason)
		before, _ := metric(t, n, name)
		if err := l.sendFrame(c.frame); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		select {
		case <-l.session.CloseChan():
		case <-ctx.Done():
			t.Fatalf("%s: the link stays open", c.name)
		}
		if after, _ := metric(t, n, name); after != before+1 {
			t.Errorf("%s: %s rose from %v to %v, want one more", c.name, name, before, after)
		}
		if _, err := bystander.session.Ping(); err != nil {
			t.Errorf("%s: another link ended: %v", c.name, err)
		}
		// Through a node of the other service, so that the call needs the links between nodes.
		for _, entry := range m.NodesOfService("deposits") {
			waitAnswered(ctx, t, caller, entry, "/availability")
		}
	}
	checkHistories(t, m, caller.Records())
}

// TestPeerAuthentication guards against a node with a wrong key or a certificate of another authority that takes part
// in the mesh, and against a log line for each of its attempts.
func TestPeerAuthentication(t *testing.T) {
	folder := t.TempDir()
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	wrongKey := filepath.Join(folder, "wrong.key")
	if err := os.WriteFile(wrongKey, []byte("another key that is long enough"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name         string
		right, wrong func(id string) string
	}{
		{"key", func(string) string { return "key_file = peer.key" }, func(string) string { return "key_file = " + wrongKey }},
		{"certificate",
			func(id string) string { return own.issue(t, folder, id, own) },
			// It trusts the other nodes, so that only they can refuse the link.
			func(id string) string { return other.issue(t, folder, id, own) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := startProcesses(t, productSpec(t, baobabemulator.WithMeshCredentials(c.right)))
			applyAndServe(t, m)
			ctx, nodes := timeout(t), m.Nodes()
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

			stranger := nodes[len(nodes)-1]
			setCredentials(t, stranger, c.right(stranger.ID()), c.wrong(stranger.ID()))
			if err := stranger.NodeProcess().Restart(); err != nil {
				t.Fatal(err)
			}
			const refused = `baobab_peer_refused_total{reason="proof"}`
			waitUntil(ctx, t, "three refusals", func() bool {
				total := 0.0
				for _, n := range nodes[:len(nodes)-1] {
					v, _ := metric(t, n, refused)
					total += v
				}
				return total >= 3
			})
			for _, n := range nodes[:len(nodes)-1] {
				v, _ := metric(t, n, refused)
				if lines := logLines(t, n, "link refused", "127.0.0.1"); v > 0 && lines > 1 {
					t.Errorf("%s logged %d lines for %v refusals of links from one host, want 1", n.ID(), lines, v)
				}
			}
			r := send(ctx, t, http.MethodGet, stranger.EntryURL()+"/availability", "", nil)
			if r.header.Get("Baobab-Outcome") != "not_run" {
				t.Errorf("a call through the refused node: status %d, outcome %q; want not_run", r.status, r.header.Get("Baobab-Outcome"))
			}
			serve(m.NodesOfService("deposits")[:1], "/availability")
			serve(m.NodesOfService("availability"), "/deposits")
		})
	}
}

// setCredentials changes the settings of a node.
func setCredentials(t *testing.T, n *baobabemulator.MeshNode, from, to string) {
	t.Helper()
	data, err := os.ReadFile(n.SettingsFile())
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), from, to, 1)
	if changed == string(data) {
		t.Fatalf("the settings of %s have no %q", n.ID(), from)
	}
	if err := os.WriteFile(n.SettingsFile(), []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
}
