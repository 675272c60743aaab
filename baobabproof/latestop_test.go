package baobabproof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// lateShutdownSettings make the stop short. Half of it is the grace period, in which callers may connect.
const lateShutdownSettings = `
[shutdown]
grace_period = 1s
drain_timeout = 3s
`

// A lateRequest is one that a caller sends while its entry node stops.
type lateRequest struct {
	serial int
	method string
	kind   string        // How the request is sent; see send.
	offset time.Duration // Between the stop signal and the last byte.

	status   int // Zero: the connection ended without a complete answer.
	outcome  string
	err      error
	headAt   time.Time // When the head was sent, from which the deadline counts.
	sentAt   time.Time // When the last byte was sent; zero if it was not.
	closedAt time.Time // When the connection ended or the answer was complete.
}

// path returns the path and query, by which the upstream's history tells the request from others.
func (r *lateRequest) path() string { return fmt.Sprintf("/dispatch?delay_ms=300&late=%d", r.serial) }

// timeout returns the time until the deadline. That of a long body is beyond the end of the stop from the beginning.
func (r *lateRequest) timeout() time.Duration {
	if r.kind == "body" {
		return 4500 * time.Millisecond
	}
	return 2 * time.Second
}

// text returns the request.
func (r *lateRequest) text() string {
	body, extra := "", ""
	if r.method == http.MethodPost {
		body, extra = strings.Repeat("x", 2000), fmt.Sprintf("Idempotency-Key: late-%d\r\n", r.serial)
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: mesh\r\nBaobab-Timeout-Ms: %d\r\nBaobab-Caller: club\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.path(), r.timeout().Milliseconds(), extra, len(body), body)
}

// send sends the request so that its last byte leaves at the offset after begin, and reads the answer. A kept connection
// has carried another request before, and one of the kinds "head" and "body" carries the first half of the head, or all
// but the end of the request, since the beginning of the stop.
func (r *lateRequest) send(ctx context.Context, address string, ready *sync.WaitGroup, begin <-chan time.Time) {
	text := r.text()
	early := map[string]int{"head": 20, "body": len(text) - 1}[r.kind]
	var dialer net.Dialer
	var conn net.Conn
	if r.kind != "new" {
		if conn, r.err = dialer.DialContext(ctx, "tcp", address); r.err == nil && r.kind == "kept" {
			_, _ = io.WriteString(conn, "GET /quotes?delay_ms=1 HTTP/1.1\r\nHost: mesh\r\n\r\n")
			r.status, _, r.err = readLateAnswer(conn)
			r.status = 0
		}
	}
	ready.Done()
	start := <-begin
	r.headAt = start
	if r.err == nil && early > 0 {
		_, r.err = io.WriteString(conn, text[:early])
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(start.Add(r.offset))):
	}
	if r.kind != "body" {
		r.headAt = time.Now()
	}
	if r.err == nil && conn == nil {
		conn, r.err = dialer.DialContext(ctx, "tcp", address)
	}
	if r.err == nil {
		if _, r.err = io.WriteString(conn, text[early:]); r.err == nil {
			r.sentAt = time.Now()
			r.status, r.outcome, r.err = readLateAnswer(conn)
		}
	}
	r.closedAt = time.Now()
	if conn != nil {
		_ = conn.Close()
	}
}

// readLateAnswer returns the status and the outcome of a complete answer.
func readLateAnswer(conn net.Conn) (int, string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, "", err
	}
	return response.StatusCode, response.Header.Get("Baobab-Outcome"), nil
}

// TestLateRequestsInPlannedStop guards against a request that a stopping node takes and passes on although it cannot be
// answered before the process ends, and that is then cut: each request that comes whole is answered or refused as not run,
// and none is passed on and left without its answer.
func TestLateRequestsInPlannedStop(t *testing.T) {
	t.Parallel()
	// A request that crosses the end of its connection need not have been read.
	const crossing = 500 * time.Millisecond
	m := startMesh(t, "repair", baobabemulator.WithMeshNodeSettings(lateShutdownSettings))
	ctx := testContext(t)
	entry := m.NodesOfService("quotes")[0]
	var requests []*lateRequest
	for offset := time.Duration(0); offset <= 3200*time.Millisecond; offset += 200 * time.Millisecond {
		for _, kind := range []string{"kept", "new", "head", "body"} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				if kind == "body" && method == http.MethodGet {
					continue
				}
				requests = append(requests, &lateRequest{serial: len(requests) + 1, method: method, kind: kind, offset: offset})
			}
		}
	}
	address := strings.TrimPrefix(entry.EntryURL(), "http://")
	var ready, done sync.WaitGroup
	begin := make(chan time.Time, len(requests))
	ready.Add(len(requests))
	for _, r := range requests {
		done.Go(func() { r.send(ctx, address, &ready, begin) })
	}
	ready.Wait()
	stopped := make(chan error, 1)
	start := time.Now()
	go func() { stopped <- entry.NodeProcess().Terminate(ctx) }()
	for range requests {
		begin <- start
	}
	done.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("planned stop of %s: %v", entry.ID(), err)
	}
	runs, err := m.Runs()
	if err != nil {
		t.Fatal(err)
	}
	ran := map[string]bool{}
	for _, v := range runs {
		ran[v.Path] = true
	}
	counts := map[string]int{}
	for _, r := range requests {
		answered, refused := r.status == http.StatusOK, r.outcome == "not_run"
		switch {
		case answered:
			counts["answered"]++
		case refused && !ran[r.path()]:
			counts["refused"]++
		case r.status == http.StatusGatewayTimeout && r.closedAt.Sub(r.headAt) >= r.timeout():
			counts["deadline reached"]++
		case ran[r.path()]:
			t.Errorf("%s on a %s connection, complete %v after the signal, was passed on and ended %v after it with status %d, outcome %q, err %v",
				r.method, r.kind, r.offset, r.closedAt.Sub(start), r.status, r.outcome, r.err)
		case r.status == 0 && (r.sentAt.IsZero() || r.closedAt.Sub(r.sentAt) < crossing):
			counts["not read"]++
		default:
			t.Errorf("%s on a %s connection, complete %v after the signal, ended %v after it with status %d, outcome %q, err %v; want an answer or a refusal",
				r.method, r.kind, r.offset, r.closedAt.Sub(start), r.status, r.outcome, r.err)
		}
	}
	t.Logf("of %d requests: %v", len(requests), counts)
	if counts["answered"] == 0 || counts["refused"] == 0 {
		t.Errorf("want requests that are answered and requests that are refused")
	}
}
