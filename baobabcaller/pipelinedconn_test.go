package baobabcaller

import (
	"bufio"
	"context"
	"errors"
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

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A pipelineServer is a CallServer whose calls wait until they are released. Targets that start with /once/ may not run
// again; /refused/ is refused, /cut/ has a truncated answer, and /panic/ panics.
type pipelineServer struct {
	mu       sync.Mutex
	running  []string // Guarded by mu; targets of calls that wait.
	runs     map[string]int
	left     int // Guarded by mu; calls whose context has ended.
	released map[string]chan struct{}
}

func newPipelineServer() *pipelineServer {
	return &pipelineServer{runs: map[string]int{}, released: map[string]chan struct{}{}}
}

func (s *pipelineServer) gate(target string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released[target] == nil {
		s.released[target] = make(chan struct{})
	}
	return s.released[target]
}

// Serve implements CallServer.
func (s *pipelineServer) Serve(ctx context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
	gate := s.gate(c.Target())
	s.mu.Lock()
	s.runs[c.Target()]++
	s.running = append(s.running, c.Target())
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		i := slices.Index(s.running, c.Target())
		s.running = slices.Delete(s.running, i, i+1)
	}()
	select {
	case <-gate:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.left++
		return nil, call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeUnknown, "the caller has left")
	}
	switch {
	case strings.HasPrefix(c.Target(), "/panic/"):
		panic("unexpected error")
	case strings.HasPrefix(c.Target(), "/refused/"):
		return nil, call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "refused")
	case strings.HasPrefix(c.Target(), "/cut/"):
		return call.NewAnswer(200, nil, io.NopCloser(io.MultiReader(strings.NewReader("cut"), failingReader{io.ErrUnexpectedEOF}))), nil
	default:
		return call.NewAnswer(200, nil, io.NopCloser(strings.NewReader(c.Target()))), nil
	}
}

func (s *pipelineServer) mayRepeat(_ time.Time, c *call.Call) bool {
	return !strings.HasPrefix(c.Target(), "/once/")
}

// waitRunning waits until just the targets are running.
func (s *pipelineServer) waitRunning(t *testing.T, targets ...string) {
	t.Helper()
	targets = slices.Sorted(slices.Values(targets))
	var got []string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		got = slices.Sorted(slices.Values(s.running))
		s.mu.Unlock()
		if slices.Equal(got, targets) {
			return
		}
	}
	t.Fatalf("running %v, want %v", got, targets)
}

// startPipelineServer starts an HTTP server that reads ahead and returns a connection to it.
func startPipelineServer(t *testing.T, s *pipelineServer, requests, bytes int) (*HTTPServer, net.Conn) {
	t.Helper()
	httpServer := NewHTTPServer(NewHandler(s, WithReadAhead(requests, bytes, s.mayRepeat)), WithGracePeriod(0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	httpServer.Start(l)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = httpServer.Shutdown(ctx)
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return httpServer, c
}

func getRequest(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// readPipelined reads one answer and returns its status and body.
func readPipelined(r *bufio.Reader) (status int, body string, closes bool, err error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), response.Close, err
}

// TestPipelining plays connections on which a caller does not wait for answers. It checks which calls run at the same
// time, and that each answer is the one to its own request, in order.
func TestPipelining(t *testing.T) {
	post := "POST /once/p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	tests := []struct {
		name     string
		sent     []string
		limit    int
		together [][]string // Targets that run together, released and answered step by step.
		statuses []int      // Of the answers; 0 for an answer that ends early.
	}{
		{"safe requests together", []string{getRequest("/a"), getRequest("/b"), getRequest("/c")}, 8,
			[][]string{{"/a", "/b", "/c"}}, []int{200, 200, 200}},
		{"limit of requests", []string{getRequest("/a"), getRequest("/b"), getRequest("/c"), getRequest("/d")}, 2,
			[][]string{{"/a", "/b", "/c"}, {"/d"}}, []int{200, 200, 200, 200}},
		{"nothing read ahead", []string{getRequest("/a"), getRequest("/b")}, 0,
			[][]string{{"/a"}, {"/b"}}, []int{200, 200}},
		{"one that may not run again, in the middle", []string{getRequest("/a"), getRequest("/b"), getRequest("/once/c"), getRequest("/d")}, 8,
			[][]string{{"/a", "/b"}, {"/once/c"}, {"/d"}}, []int{200, 200, 200, 200}},
		{"one that may not run again, first", []string{getRequest("/once/a"), getRequest("/b"), getRequest("/c")}, 8,
			[][]string{{"/once/a"}, {"/b", "/c"}}, []int{200, 200, 200}},
		{"a body in the middle", []string{getRequest("/a"), post, getRequest("/b"), getRequest("/c")}, 8,
			[][]string{{"/a"}, {"/once/p"}, {"/b", "/c"}}, []int{200, 200, 200, 200}},
		{"a refusal keeps its place", []string{getRequest("/a"), getRequest("/refused/b"), getRequest("/c")}, 8,
			[][]string{{"/a", "/refused/b", "/c"}}, []int{200, 429, 200}},
		{"a panic costs one request", []string{getRequest("/a"), getRequest("/panic/b"), getRequest("/c")}, 8,
			[][]string{{"/a", "/panic/b", "/c"}}, []int{200, 502, 200}},
		{"a cut answer ends the connection", []string{getRequest("/a"), getRequest("/cut/b"), getRequest("/c")}, 8,
			[][]string{{"/a", "/cut/b", "/c"}}, []int{200, 0}},
		{"a malformed request in its turn", []string{getRequest("/a"), "GET /b HTTP/1.1\r\nHost h\r\n\r\n", getRequest("/c")}, 8,
			[][]string{{"/a"}}, []int{200, 400}},
		{"a length and chunks", []string{getRequest("/a"),
			"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", getRequest("/c")}, 8,
			[][]string{{"/a"}}, []int{200, 400}},
	}
	for _, tt := range tests {
		for _, split := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, split %v", tt.name, split), func(t *testing.T) {
				s := newPipelineServer()
				_, c := startPipelineServer(t, s, tt.limit, 16<<10)
				sendAll(t, c, strings.Join(tt.sent, ""), split)
				reader := bufio.NewReader(c)
				statuses := tt.statuses
				for _, together := range tt.together {
					s.waitRunning(t, together...)
					for i := range together {
						close(s.gate(together[len(together)-1-i])) // The last one is ready first.
					}
					for _, target := range together {
						status, body, _, err := readPipelined(reader)
						if len(statuses) == 0 {
							break
						}
						if want := statuses[0]; want == 0 && err == nil || want != 0 && (err != nil || status != want) ||
							want == 200 && body != target {
							t.Fatalf("answer to %s: status %d, body %q, %v; want %d", target, status, body, err, want)
						}
						statuses = statuses[1:]
					}
				}
				if len(statuses) > 0 {
					if status, _, closes, err := readPipelined(reader); err != nil || status != statuses[0] || !closes {
						t.Fatalf("last answer: status %d, closes %v, %v; want %d", status, closes, err, statuses[0])
					}
				}
				for target, n := range s.runs {
					if n != 1 {
						t.Errorf("%s ran %d times", target, n)
					}
				}
			})
		}
	}
}

// sendAll sends text at once or in random parts.
func sendAll(t *testing.T, c net.Conn, text string, split bool) {
	t.Helper()
	seed := rand.Uint64()
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	for len(text) > 0 {
		n := len(text)
		if split {
			n = 1 + random.IntN(min(n, 40))
		}
		if _, err := io.WriteString(c, text[:n]); err != nil {
			t.Fatal(err)
		}
		text = text[n:]
	}
}

// TestPipeliningCallerLeaves guards against calls that go on after their caller has closed or reset its connection.
func TestPipeliningCallerLeaves(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		s := newPipelineServer()
		_, c := startPipelineServer(t, s, 8, 16<<10)
		sendAll(t, c, getRequest("/a")+getRequest("/b")+getRequest("/once/c"), false)
		s.waitRunning(t, "/a", "/b")
		if err := errors.Join(c.(*net.TCPConn).SetLinger(linger), c.Close()); err != nil {
			t.Fatal(err)
		}
		s.waitRunning(t)
		if s.left != 2 || s.runs["/once/c"] != 0 {
			t.Errorf("linger %d: %d calls saw the caller leave, want 2; runs %v", linger, s.left, s.runs)
		}
	}
}

// TestPipeliningShutdown guards against a planned stop that answers the first request and cuts off those behind it that
// were handed on, or that takes up more of them.
func TestPipeliningShutdown(t *testing.T) {
	s := newPipelineServer()
	httpServer, c := startPipelineServer(t, s, 8, 16<<10)
	sendAll(t, c, getRequest("/a")+getRequest("/b"), false)
	s.waitRunning(t, "/a", "/b")
	httpServer.handler.StartDraining()
	sendAll(t, c, getRequest("/c"), false)
	close(s.gate("/b"))
	close(s.gate("/a"))
	reader := bufio.NewReader(c)
	for _, want := range []struct {
		body   string
		closes bool
	}{{"/a", false}, {"/b", true}} {
		if status, body, closes, err := readPipelined(reader); err != nil || status != 200 || body != want.body || closes != want.closes {
			t.Fatalf("answer: status %d, body %q, closes %v, %v; want %+v", status, body, closes, err, want)
		}
	}
	if _, _, _, err := readPipelined(reader); err == nil || s.runs["/c"] != 0 {
		t.Errorf("a request behind the closing answer: %v, runs %v", err, s.runs)
	}
}

// TestPipeliningBytesLimit guards against a caller that fills the node's memory by sending without reading.
func TestPipeliningBytesLimit(t *testing.T) {
	const limit = 4 << 10
	s := newPipelineServer()
	httpServer, c := startPipelineServer(t, s, 2, limit)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(c, strings.Repeat(getRequest("/a"), 1<<18))
	}()
	s.waitRunning(t, "/a", "/a", "/a")
	<-sent
	if httpServer.handler.metrics.aheadStoppedBytes.Get() == 0 {
		t.Error("the limit of bytes was not reached")
	}
	s.waitRunning(t, "/a", "/a", "/a")
}

// TestCallerLeavesBeforeItIsRead guards against a call for a caller that had closed or reset its connection before the node
// came to read the request.
func TestCallerLeavesBeforeItIsRead(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		s := newPipelineServer()
		httpServer := NewHTTPServer(NewHandler(s, WithReadAhead(8, 16<<10, s.mayRepeat)), WithGracePeriod(0))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		const callers = 20
		for i := range callers {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			request := getRequest(fmt.Sprintf("/%d", i))
			if i%2 == 1 {
				request += getRequest(fmt.Sprintf("/%d/behind", i))
			}
			sendAll(t, c, request, false)
			if err := errors.Join(c.(*net.TCPConn).SetLinger(linger), c.Close()); err != nil {
				t.Fatal(err)
			}
		}
		httpServer.Start(l)
		last, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		sendAll(t, last, getRequest("/last"), false)
		s.waitRunning(t, "/last")
		close(s.gate("/last"))
		if status, body, _, err := readPipelined(bufio.NewReader(last)); status != 200 || body != "/last" {
			t.Errorf("caller that stays: status %d, body %q, %v", status, body, err)
		}
		_ = last.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		if err := httpServer.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		if len(s.runs) != 1 {
			t.Errorf("linger %d: %d calls of callers that had left were served", linger, len(s.runs)-1)
		}
	}
}
