package baobabproof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestWholeAnswers guards against an answer that reaches another caller, and against a truncated answer that looks
// complete. Many callers request large, streamed, truncated and late answers with unique content while links are cut,
// delayed, stalled, throttled and lose replies.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	const (
		workers = 16
		rounds  = 10
		calls   = 120 // Requests between two changes of the link faults.
	)
	m := startMesh(t, "repair")
	ctx := testContext(t)
	caller := baobabemulator.NewCaller("whole")
	defer caller.Close()
	get := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/archive"}
	requests := []func(serial int64) baobabemulator.CallerRequest{
		func(int64) baobabemulator.CallerRequest { return get },
		func(int64) baobabemulator.CallerRequest {
			return withQuery(get, "size=300000&pieces=5&piece_interval_ms=20")
		},
		func(int64) baobabemulator.CallerRequest { return withQuery(get, "size=60000&truncate=1") },
		func(int64) baobabemulator.CallerRequest { return withQuery(get, "size=60000&pieces=3&truncate=1") },
		func(int64) baobabemulator.CallerRequest {
			late := withQuery(get, "size=300000&pieces=6&piece_interval_ms=20")
			late.Timeout = 70 * time.Millisecond
			return late
		},
		func(serial int64) baobabemulator.CallerRequest {
			return baobabemulator.CallerRequest{
				Method: http.MethodPost, Path: "/canvas-orders", Query: "size=100000", Padding: 200_000,
				Key: fmt.Sprint("whole-", serial), Caller: fmt.Sprint("club-", serial%7),
			}
		},
	}
	entries := baobabemulator.EntryURLs(m.Nodes()...)
	load := baobabemulator.StartLoad(ctx, workers, time.Millisecond, func(ctx context.Context, serial int64) {
		r := requests[serial%int64(len(requests))](serial)
		caller.Do(ctx, entries[serial/2%int64(len(entries))], r)
	})
	defer load.Stop()
	f := newFaultInjector(t, m)
	seed := newSeed(t)
	random := rand.New(rand.NewPCG(seed, seed))
	for range rounds {
		targets := append(m.NodesOfService("archive"), m.NodesOfService("canvas-purchasing")...)
		random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets[0].PeerProxy().Delay(5*time.Millisecond, 30*time.Millisecond)
		targets[1].PeerProxy().Stall(0.3, 50*time.Millisecond)
		targets[2].PeerProxy().Throttle(2 << 20)
		targets[3].PeerProxy().DropReplies()
		f.waitRequestsSent(ctx, load, calls)
		targets[4].PeerProxy().Disconnect()
		f.waitRequestsSent(ctx, load, 5)
		for _, n := range targets {
			n.PeerProxy().Heal()
			n.PeerProxy().Delay(0, 0)
		}
		f.waitRequestsSent(ctx, load, calls/4)
	}
	load.Stop()
	seen := map[string]int{}
	for _, r := range caller.Records() {
		seen[resultSummary(r)]++
		if strings.Contains(r.Request.Query, "truncate=1") && r.Answered() {
			t.Errorf("request %s got a complete answer of status %d although its upstream truncated it", r.Content, r.Status)
		}
	}
	t.Logf("%d requests: %v", len(caller.Records()), seen)
	checkHistories(t, m, caller.Records())
	f.waitIdle(ctx)
}

// TestUnreadAnswers guards against callers that do not read their answers and so occupy the upstream's slots beyond the
// deadlines of their calls, both through the upstream's own node and through another node.
func TestUnreadAnswers(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	for _, entry := range []*baobabemulator.MeshNode{m.NodesOfService("deposits")[0], m.NodesOfService("availability")[0]} {
		const unreadCalls = 8
		var conns []net.Conn
		for i := range unreadCalls {
			c, err := net.Dial("tcp", strings.TrimPrefix(entry.EntryURL(), "http://"))
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
			if _, err := fmt.Fprintf(c, "GET /deposits?content=unread-%s-%d&size=30000000 HTTP/1.1\r\nHost: mesh\r\n\r\n", entry.ID(), i); err != nil {
				t.Fatal(err)
			}
		}
		f.waitUntil(ctx, "an upstream to run an unread call", func() bool {
			runs, err := m.Runs()
			return err == nil && slices.ContainsFunc(runs, func(r baobabemulator.UpstreamRun) bool {
				return strings.Contains(r.Path, "unread-"+entry.ID())
			})
		})
		start := time.Now()
		f.waitIdle(ctx)
		// The route's timeout is 2 s; the entry listener gives a caller 30 s to read each piece.
		if d := time.Since(start); d > 15*time.Second {
			t.Errorf("slots were occupied for %v by callers of %s that do not read", d, entry.ID())
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// TestKeyedAnswerOutlivesCaller guards against the loss of a keyed answer when the caller disconnects while reading it:
// a caller that repeats the request gets the answer.
func TestKeyedAnswerOutlivesCaller(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	caller := baobabemulator.NewCaller("gone")
	defer caller.Close()
	// Only the upstream of the first entry node does not shed calls.
	newFaultInjector(t, m).setBehaviour(`{"shed": true}`, `{"shed": false}`, m.NodesOfService("deposits")[1:]...)
	for _, entry := range []*baobabemulator.MeshNode{m.NodesOfService("deposits")[0], m.NodesOfService("availability")[0]} {
		r := baobabemulator.CallerRequest{
			Method: http.MethodPost, Path: "/deposits", Query: "size=9000&pieces=12&piece_interval_ms=100", Caller: "club",
			Key: "gone-" + entry.ID(), Content: "gone-" + entry.ID(),
		}
		disconnectDuringAnswer(ctx, t, entry, r)
		if last := caller.DoUntilAnswered(ctx, baobabemulator.EntryURLs(m.Nodes()...), r, 50*time.Millisecond); !last.Answered() {
			t.Errorf("through %s: status %d, outcome %q, refusal %q; want the answer", entry.ID(), last.Status, last.Outcome, last.Refusal)
		}
	}
	checkHistories(t, m, caller.Records())
}

// disconnectDuringAnswer sends a request and closes the connection after the first byte of the answer's body.
func disconnectDuringAnswer(ctx context.Context, t *testing.T, entry *baobabemulator.MeshNode, r baobabemulator.CallerRequest) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", strings.TrimPrefix(entry.EntryURL(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST %s?content=%s&%s HTTP/1.1\r\nHost: mesh\r\nBaobab-Caller: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Path, r.Content, r.Query, r.Caller, r.Key, len(r.Content), r.Content); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func withQuery(r baobabemulator.CallerRequest, query string) baobabemulator.CallerRequest {
	r.Query = query
	return r
}

// resultSummary describes in a few words how a request ended.
func resultSummary(r baobabemulator.CallerRecord) string {
	switch {
	case r.Err != nil:
		return "broken"
	case r.Refusal != "":
		return r.Refusal + " " + r.Outcome
	case r.Answered():
		return "answered"
	default:
		return fmt.Sprint("status ", r.Status)
	}
}

// waitRequestsSent waits until the load has sent n more requests.
func (f *faultInjector) waitRequestsSent(ctx context.Context, load *baobabemulator.LoadGenerator, n int64) {
	f.t.Helper()
	before := load.Sent()
	f.waitUntil(ctx, "further requests", func() bool { return load.Sent() >= before+n })
}

// waitIdle waits until no node has a call in flight, which shows that every admission permit was released.
func (f *faultInjector) waitIdle(ctx context.Context) {
	f.t.Helper()
	var all sync.WaitGroup
	for _, n := range f.m.Nodes() {
		all.Go(func() {
			f.waitUntil(ctx, "no calls in flight at "+n.ID(), func() bool {
				v, err := n.Metric(ctx, "baobab_admission_in_flight")
				return err == nil && v == 0
			})
		})
	}
	all.Wait()
}
