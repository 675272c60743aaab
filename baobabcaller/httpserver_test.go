package baobabcaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// TestShutdown guards against a shutdown that interrupts a request in progress, rejects connections during the grace
// period, or does not ask callers to close their connections.
func TestShutdown(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	server := serverFunc(func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
		if c.Target() == "/slow" {
			started <- struct{}{}
			<-release
		}
		return call.NewAnswer(200, nil, io.NopCloser(strings.NewReader("done"))), nil
	})
	handler := NewHandler(server)
	httpServer := NewHTTPServer(handler, WithGracePeriod(time.Hour))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	httpServer.Start(l)
	url := "http://" + l.Addr().String()
	slow := make(chan string, 1)
	go func() {
		response, err := http.Get(url + "/slow")
		if err != nil {
			slow <- err.Error()
			return
		}
		defer response.Body.Close()
		b, err := io.ReadAll(response.Body)
		if err != nil {
			b = []byte(err.Error())
		}
		slow <- string(b)
	}()
	<-started
	graceCtx, endGrace := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() {
		// The grace period lasts until endGrace; then Shutdown waits for the slow request.
		handler.StartDraining()
		<-graceCtx.Done()
		httpServer.gracePeriod = 0
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		stopped <- httpServer.Shutdown(ctx)
	}()
	for !handler.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	response, _ := do(t, "GET", url+"/fast", nil, nil)
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("answer in the grace period: status %d, close %v", response.StatusCode, response.Close)
	}
	endGrace()
	for {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			break
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
	close(release)
	if got := <-slow; got != "done" {
		t.Errorf("request in progress got %q", got)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestShutdownClosesIdle guards against a shutdown that accepts new requests on idle connections while another request
// is in progress, and then interrupts them at the end of its context.
func TestShutdownClosesIdle(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	httpServer := NewHTTPServer(NewHandler(serverFunc(
		func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
			if c.Target() == "/slow" {
				close(started)
				<-release
			}
			return call.NewAnswer(200, nil, io.NopCloser(strings.NewReader("done"))), nil
		},
	)), WithGracePeriod(0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	httpServer.Start(l)
	idle, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	reader := bufio.NewReader(idle)
	_, _ = io.WriteString(idle, "GET /fast HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.Close {
		t.Fatalf("first answer %v, %v", response, err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	slow := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + l.Addr().String() + "/slow")
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		slow <- err
	}()
	<-started
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		stopped <- httpServer.Shutdown(ctx)
	}()
	_ = idle.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read on the idle connection during shutdown: %v, want EOF", err)
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("request in progress: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestShutdownLimit guards against a shutdown that waits for a blocked request after the end of its context.
func TestShutdownLimit(t *testing.T) {
	started := make(chan struct{})
	httpServer := NewHTTPServer(NewHandler(serverFunc(
		func(ctx context.Context, _ time.Time, _ *call.Call) (*call.Answer, *call.Refusal) {
			close(started)
			<-ctx.Done()
			return nil, call.NewRefusal(call.ReasonAnswerLost, call.OutcomeUnknown, "stopped")
		},
	)), WithGracePeriod(0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	httpServer.Start(l)
	failed := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			_ = response.Body.Close()
		}
		failed <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := httpServer.Shutdown(ctx); err == nil {
		t.Error("Shutdown returned no error for an interrupted request")
	}
	if err := <-failed; err == nil {
		t.Error("interrupted request succeeded")
	}
}

// TestListenerFailure guards against a server that continues without its listener and reports no error.
func TestListenerFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	_ = l.Close()
	httpServer := NewHTTPServer(NewHandler(answerWith(200, nil, strings.NewReader(""))), WithGracePeriod(0))
	httpServer.Start(l)
	<-httpServer.Dying()
	if err := httpServer.Shutdown(t.Context()); err == nil {
		t.Error("Shutdown returned no error after the listener failed")
	}
}

// TestUnreadRequests guards against requests that net/http's server rejects before the handler and that are not counted.
func TestUnreadRequests(t *testing.T) {
	set := metrics.NewSet()
	server := serverFunc(func(context.Context, time.Time, *call.Call) (*call.Answer, *call.Refusal) {
		return nil, notRunRefusal(call.ReasonNoRoute, "none")
	})
	httpServer := NewHTTPServer(NewHandler(server, WithMetrics(set), WithMaxHeaderBytes(1000)), WithGracePeriod(0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	httpServer.Start(l)
	for _, c := range []struct{ request, answer, cause string }{
		{"GET / HTTP/1.1\r\nHost: a\r\nBig: " + strings.Repeat("a", 30_000) + "\r\n\r\n", "HTTP/1.1 431", "over_size"},
		{"nonsense\r\n\r\n", "HTTP/1.1 400", "malformed"},
		{"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400", "malformed"},
		{"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "HTTP/1.1 404", ""},
	} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		before := unreadCounts(set)
		if _, err := io.WriteString(conn, c.request); err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(conn)
		if !strings.HasPrefix(string(answer), c.answer) {
			t.Errorf("%.30q: answer %.60q, want %s", c.request, answer, c.answer)
		}
		want := before
		if c.cause != "" {
			want[c.cause]++
		}
		if got := unreadCounts(set); !maps.Equal(got, want) {
			t.Errorf("%.30q: counters %v, want %v", c.request, got, want)
		}
		_ = conn.Close()
	}
	if err := httpServer.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

func unreadCounts(set *metrics.Set) map[string]uint64 {
	counts := map[string]uint64{}
	for _, cause := range []string{"malformed", "over_size"} {
		counts[cause] = set.GetOrCreateCounter(fmt.Sprintf("baobab_caller_unread_total{cause=%q}", cause)).Get()
	}
	return counts
}
