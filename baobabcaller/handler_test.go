package baobabcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

type serverFunc func(ctx context.Context, now time.Time, c *call.Call) (*call.Answer, *call.Refusal)

func (f serverFunc) Serve(ctx context.Context, now time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
	return f(ctx, now, c)
}

func answerWith(status int, header http.Header, body io.Reader) serverFunc {
	return func(context.Context, time.Time, *call.Call) (*call.Answer, *call.Refusal) {
		return call.NewAnswer(status, header, io.NopCloser(body)), nil
	}
}

// startHandler serves a handler on a TCP listener and returns its URL and its metrics.
func startHandler(t *testing.T, s CallServer, options ...Option) (string, *metrics.Set) {
	t.Helper()
	set := metrics.NewSet()
	server := httptest.NewServer(NewHandler(s, append(options, WithMetrics(set))...))
	t.Cleanup(server.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return server.URL, set
}

// reply is a completely read response.
type reply struct {
	StatusCode int
	Header     http.Header
	Close      bool // The response asked for the connection to be closed.
}

func do(t *testing.T, method, url string, header http.Header, body io.Reader) (reply, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatalf("NewRequest: %v", err)
	}
	for k, v := range header {
		request.Header[k] = v
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("Do: %v", err)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("ReadAll: %v", err)
	}
	return reply{StatusCode: response.StatusCode, Header: response.Header, Close: response.Close}, b
}

// TestCallFields guards against header fields that are lost, forged or forwarded although they apply to one hop.
func TestCallFields(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var got *call.Call
	server := serverFunc(func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
		got = c
		return call.NewAnswer(200, http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"2"}, "Baobab-Outcome": {"forged"}, "Baobab-Other": {"forged"}}, io.NopCloser(strings.NewReader("ok"))), nil
	})
	url, _ := startHandler(t, server, WithClock(func() time.Time { return now }))
	header := http.Header{
		"Baobab-Caller": {"practice-7"}, "Baobab-Rank": {"urgent"}, "Baobab-Timeout-Ms": {"250"},
		"Idempotency-Key": {"k1"}, "Baobab-Retried": {"1"}, "Connection": {"X-Secret"}, "X-Secret": {"1"},
		"Te": {"trailers"}, "X-Kept": {"a", "b"}, "Baobab_caller": {"forged"}, "Baobab-Call-Id": {"forged"}, "Baobab-Other": {"forged"},
		"Baobab-Account": {"forged"}, "Authorization": {"Bearer key"},
	}
	response, body := do(t, "POST", url+"//a%2Fb/c?q=1&r", header, strings.NewReader("hello"))
	if string(body) != "ok" || response.Header.Get("Baobab-Outcome") != "ran" {
		t.Errorf("answer = %q, outcome %q", body, response.Header.Get("Baobab-Outcome"))
	}
	if response.Header.Get("X-Hop") != "" || response.Header.Get("Baobab-Other") != "" || response.Header.Get("X-End") != "2" {
		t.Errorf("answer header = %v, want X-End without X-Hop", response.Header)
	}
	if got.ID() == "" || response.Header.Get("Baobab-Call-Id") != got.ID() {
		t.Errorf("call id = %q, echoed %q", got.ID(), response.Header.Get("Baobab-Call-Id"))
	}
	text := fmt.Sprintln(got.Caller(), got.Rank(), got.IdempotencyKey(), got.Retried(), got.Deadline().Sub(now), got.Method(), got.Target(), string(got.Body()))
	if want := "practice-7 urgent k1 true 250ms POST //a%2Fb/c?q=1&r hello\n"; text != want {
		t.Errorf("call = %q, want %q", text, want)
	}
	for _, name := range []string{"Connection", "X-Secret", "Te", "Baobab-Caller", "Idempotency-Key", "Baobab-Retried", "Content-Length", "Baobab_caller", "Baobab-Call-Id", "Baobab-Other", "Baobab-Account"} {
		if _, ok := got.Header()[name]; ok {
			t.Errorf("call header has %s", name)
		}
	}
	if got.Credential() != call.NewCredential("key") || got.Header().Get("Authorization") == "" {
		t.Errorf("credential %v, header %v: want the key in both until the route is known", got.Credential(), got.Header())
	}
	if fmt.Sprint(got.Header()["X-Kept"]) != "[a b]" {
		t.Errorf("X-Kept = %v", got.Header()["X-Kept"])
	}
}

// TestCallerFromAddress guards against calls without a caller identity.
func TestCallerFromAddress(t *testing.T) {
	var got *call.Call
	url, _ := startHandler(t, serverFunc(func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
		got = c
		return call.NewAnswer(204, nil, http.NoBody), nil
	}))
	do(t, "GET", url, nil, nil)
	if got.Caller() != "127.0.0.1" || !got.Deadline().IsZero() || got.Retried() {
		t.Errorf("caller = %q, deadline %v, retried %v", got.Caller(), got.Deadline(), got.Retried())
	}
}

// TestInvalidRequests guards against invalid or oversized requests that reach the CallServer, and against refusals that
// are not counted or not described to the caller.
func TestInvalidRequests(t *testing.T) {
	server := serverFunc(func(context.Context, time.Time, *call.Call) (*call.Answer, *call.Refusal) {
		t.Error("Serve was called")
		return nil, nil
	})
	url, set := startHandler(t, server, WithMaxBodyBytes(10), WithMaxHeaderBytes(2000))
	tests := []struct {
		name   string
		header http.Header
		body   io.Reader
		want   call.Reason
	}{
		{"long body", nil, strings.NewReader("12345678901"), call.ReasonOverSize},
		{"long chunked body", nil, io.MultiReader(strings.NewReader("12345678901")), call.ReasonOverSize},
		{"long header", http.Header{"X": {strings.Repeat("a", 2000)}}, nil, call.ReasonOverSize},
		{"bad timeout", http.Header{"Baobab-Timeout-Ms": {"-1"}}, nil, call.ReasonMalformed},
		{"bad retried", http.Header{"Baobab-Retried": {"maybe"}}, nil, call.ReasonMalformed},
		{"two keys", http.Header{"Idempotency-Key": {"a", "b"}}, nil, call.ReasonMalformed},
		{"long rank", http.Header{"Baobab-Rank": {strings.Repeat("a", 257)}}, nil, call.ReasonMalformed},
	}
	for _, tt := range tests {
		response, b := do(t, "POST", url+"/", tt.header, tt.body)
		var body refusalBody
		if err := json.Unmarshal(b, &body); err != nil {
			t.Errorf("%s: body %q: %v", tt.name, b, err)
		}
		if response.StatusCode != tt.want.Status() || response.Header.Get("Baobab-Refusal") != string(tt.want) || body.Reason != tt.want {
			t.Errorf("%s: status %d, refusal %q, body %s", tt.name, response.StatusCode, response.Header.Get("Baobab-Refusal"), b)
		}
		if response.Header.Get("Baobab-Outcome") != "not_run" || response.Header.Get("Baobab-Call-Id") == "" {
			t.Errorf("%s: header %v", tt.name, response.Header)
		}
	}
	if n := set.GetOrCreateCounter(`baobab_caller_refusals_total{reason="over_size",outcome="not_run"}`).Get(); n != 3 {
		t.Errorf("over size counter = %d, want 3", n)
	}
	if n := set.GetOrCreateCounter(`baobab_caller_refusals_total{reason="malformed",outcome="not_run"}`).Get(); n != 4 {
		t.Errorf("malformed counter = %d, want 4", n)
	}
}

// TestServerRefusal guards against a refusal without an outcome or with a Retry-After that is rounded down.
func TestServerRefusal(t *testing.T) {
	url, _ := startHandler(t, serverFunc(func(context.Context, time.Time, *call.Call) (*call.Answer, *call.Refusal) {
		return nil, call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "full").WithRetryAfter(1100 * time.Millisecond)
	}))
	response, _ := do(t, "GET", url, nil, nil)
	if response.StatusCode != http.StatusTooManyRequests || response.Header.Get("Retry-After") != "2" {
		t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	url, _ = startHandler(t, serverFunc(
		func(context.Context, time.Time, *call.Call) (*call.Answer, *call.Refusal) { return nil, nil },
	))
	response, _ = do(t, "GET", url, nil, nil)
	if response.Header.Get("Baobab-Outcome") != "unknown" {
		t.Errorf("outcome without answer = %q, want unknown", response.Header.Get("Baobab-Outcome"))
	}
}

// truncated returns a reader that yields text and then fails with io.ErrUnexpectedEOF.
func truncated(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errorReader{})
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestTruncatedAnswer guards against a truncated answer that looks complete to the caller.
func TestTruncatedAnswer(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		body   io.Reader
	}{
		{"chunked", nil, truncated("part")},
		{"chunked, large", nil, truncated(strings.Repeat("x", 200_000))},
		{"nothing sent", nil, truncated("")},
		{"declared length", http.Header{"Content-Length": {"9"}}, truncated("part")},
		{"short without error", http.Header{"Content-Length": {"9"}}, strings.NewReader("part")},
	}
	for _, tt := range tests {
		url, _ := startHandler(t, answerWith(200, tt.header, tt.body))
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		b, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			t.Errorf("%s: caller got %d bytes without error", tt.name, len(b))
		}
	}
}

// rawRequest sends request as it is and returns everything that is received until the connection is closed.
func rawRequest(t *testing.T, url, request string) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatalf("Dial: %v", err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, request)
	b, _ := io.ReadAll(conn)
	return b
}

// TestHTTP10 guards against truncated answers to callers that do not support chunked encoding.
func TestHTTP10(t *testing.T) {
	url, _ := startHandler(t, answerWith(200, nil, strings.NewReader("whole")))
	if b := rawRequest(t, url, "GET / HTTP/1.0\r\n\r\n"); !bytes.Contains(b, []byte("Content-Length: 5\r\n")) || !bytes.HasSuffix(b, []byte("whole")) {
		t.Errorf("complete answer = %q", b)
	}
	url, _ = startHandler(t, answerWith(200, nil, truncated("part")))
	b := rawRequest(t, url, "GET / HTTP/1.0\r\n\r\n")
	if !bytes.Contains(b, []byte("Baobab-Refusal: answer_lost")) || !bytes.Contains(b, []byte("Baobab-Call-Id")) {
		t.Errorf("truncated answer = %q", b)
	}
}

// TestNonPathTarget guards against accepting request targets that are not paths.
func TestNonPathTarget(t *testing.T) {
	url, _ := startHandler(t, answerWith(200, nil, strings.NewReader("")))
	b := rawRequest(t, url, "CONNECT a:1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	if !bytes.Contains(b, []byte("Baobab-Refusal: malformed")) {
		t.Errorf("CONNECT = %q", b)
	}
}

// TestStreaming guards against answers that are buffered until they are complete.
func TestStreaming(t *testing.T) {
	reader, writer := io.Pipe()
	url, _ := startHandler(t, answerWith(200, nil, reader))
	go func() { _, _ = io.WriteString(writer, "first\n") }()
	response, err := http.Get(url)
	if err != nil {
		t.Fatalf("Get: %v", err)
	}
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	if line != "first\n" || err != nil {
		t.Errorf("first piece = %q, %v", line, err)
	}
	_ = writer.Close()
}

// TestCallerGone guards against calls that continue after their caller has disconnected.
func TestCallerGone(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	url, _ := startHandler(t, serverFunc(func(ctx context.Context, _ time.Time, _ *call.Call) (*call.Answer, *call.Refusal) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, call.NewRefusal(call.ReasonAnswerLost, call.OutcomeUnknown, "gone")
	}))
	ctx, cancel := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	go func() {
		<-started
		cancel()
	}()
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
		t.Error("request succeeded")
	}
	<-ended
}

// TestSlowBody guards against a caller that occupies a connection by sending its body slowly, and against a body
// deadline that cancels a call whose body arrived in time.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	url, _ := startHandler(t, serverFunc(func(ctx context.Context, _ time.Time, _ *call.Call) (*call.Answer, *call.Refusal) {
		select {
		case <-ctx.Done():
			return nil, call.NewRefusal(call.ReasonAnswerLost, call.OutcomeUnknown, "context ended")
		case <-time.After(1250 * time.Millisecond):
			return call.NewAnswer(200, nil, http.NoBody), nil
		}
	}), WithBodyTimeout(time.Second))
	b := rawRequest(t, url, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
	if !bytes.Contains(b, []byte("Baobab-Refusal: malformed")) {
		t.Errorf("slow body = %q", b)
	}
	response, _ := do(t, "POST", url, nil, strings.NewReader("body"))
	if response.StatusCode != http.StatusOK {
		t.Errorf("status of a call longer than the body timeout = %d", response.StatusCode)
	}
}

// TestWriteTimeoutIsRenewed guards against the write deadline of an earlier write or answer that aborts a later one on
// the same connection.
func TestWriteTimeoutIsRenewed(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	url, _ := startHandler(t, serverFunc(func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
		if c.Target() == "/refused" {
			time.Sleep(timeout + timeout/4)
			return nil, call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "full")
		}
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, "piece")
			time.Sleep(timeout + timeout/4)
			_ = writer.Close()
		}()
		return call.NewAnswer(200, nil, reader), nil
	}), WithWriteTimeout(timeout))
	if _, b := do(t, "GET", url+"/slow-end", nil, nil); string(b) != "piece" {
		t.Errorf("answer = %q", b)
	}
	if response, _ := do(t, "GET", url+"/refused", nil, nil); response.StatusCode != http.StatusTooManyRequests {
		t.Errorf("status on the reused connection = %d", response.StatusCode)
	}
}

// TestRankLabels guards against callers that create an unbounded number of metrics.
func TestRankLabels(t *testing.T) {
	m := newHandlerMetrics(metrics.NewSet())
	for i := range 100 {
		m.observeDuration(fmt.Sprintf("rank-%d", i), time.Millisecond)
	}
	if m.rankLabel("rank-0") != "rank-0" || m.rankLabel("rank-99") != "other" || len(m.ranks) != maxRankLabels {
		t.Errorf("labels: first %q, last %q, count %d", m.rankLabel("rank-0"), m.rankLabel("rank-99"), len(m.ranks))
	}
}

// TestCustomHeaderNames guards against internal fields that a caller sets, against a call id other than that of the
// request, and against refusals that ignore WithRefusalFormat.
func TestCustomHeaderNames(t *testing.T) {
	names := call.NewHeaderNames(map[call.HeaderField]string{
		call.FieldCallID: "X-Id", call.FieldCallerService: "X-Service", call.FieldTimeout: "X-Ms",
	}, call.FieldCallerService)
	var got *call.Call
	server := serverFunc(func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
		got = c
		return nil, call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "full").WithRetryAfter(42 * time.Millisecond)
	})
	url, _ := startHandler(t, server, WithHeaderNames(names), WithCallIDsFromCaller(), WithCallerService("quotes"),
		WithRefusalFormat(
			func(*call.Refusal) int { return http.StatusServiceUnavailable },
			func(d time.Duration) string { return d.String() },
		))
	request, err := http.NewRequest(http.MethodGet, url+"/a%2Fb//c?x=%20", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = http.Header{"X-Id": {"id1"}, "X_service": {"forged"}, "X-Service": {"forged"}, "X-Ms": {"500"}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got.ID() != "id1" || got.Target() != "/a%2Fb//c?x=%20" || got.Deadline().IsZero() {
		t.Errorf("call %s, target %s, deadline %s", got.ID(), got.Target(), got.Deadline())
	}
	if v := got.Header()["X-Service"]; len(v) != 1 || v[0] != "quotes" || got.Header()["X_service"] != nil {
		t.Errorf("header = %v", got.Header())
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "42ms" || response.Header.Get("X-Id") != "id1" {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
	for name := range response.Header {
		if strings.HasPrefix(name, "Baobab") {
			t.Errorf("response has field %s", name)
		}
	}
}

// TestParentID guards against nested calls that are not related to their parent, and against a parent that nobody named.
func TestParentID(t *testing.T) {
	parents := make(chan string, 1)
	server := serverFunc(func(_ context.Context, _ time.Time, c *call.Call) (*call.Answer, *call.Refusal) {
		parents <- c.ParentID()
		return nil, call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, "full")
	})
	names := call.NewHeaderNames(map[call.HeaderField]string{call.FieldCallID: "X-Id", call.FieldParentID: "X-Parent"})
	options := []Option{WithHeaderNames(names), WithCallIDsFromCaller()}
	for _, c := range []struct {
		id, parent string
		options    []Option
		want       string
	}{
		{"a.1", "", nil, ""},
		{"a.1", "b", nil, "b"},
		{"a.1", "", []Option{WithParentInCallID()}, "a"},
		{"a.1.2", "", []Option{WithParentInCallID()}, "a.1"},
		{"a.1", "b", []Option{WithParentInCallID()}, "b"},
		{"a", "", []Option{WithParentInCallID()}, ""},
		{".1", "", []Option{WithParentInCallID()}, ""},
	} {
		url, _ := startHandler(t, server, append(options, c.options...)...)
		request, err := http.NewRequest(http.MethodGet, url+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Id", c.id)
		if c.parent != "" {
			request.Header.Set("X-Parent", c.parent)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got := <-parents; got != c.want {
			t.Errorf("id %s, parent %q, %d options: parent %q, want %q", c.id, c.parent, len(c.options), got, c.want)
		}
	}
}

// TestBodyMemory guards against bodies, with and without a declared length, that together exceed the memory of the VM,
// and against memory that is not released.
func TestBodyMemory(t *testing.T) {
	memory := call.NewBodyMemory(100)
	url, _ := startHandler(t, answerWith(200, nil, strings.NewReader("")), WithBodyMemory(memory), WithMaxBodyBytes(1000))
	for _, c := range []struct {
		size    int
		chunked bool
		status  int
	}{{90, false, 200}, {101, false, 429}, {300, true, 429}, {100, true, 200}, {1001, false, 413}, {100, false, 200}} {
		var body io.Reader = strings.NewReader(strings.Repeat("x", c.size))
		if c.chunked {
			body = io.MultiReader(body) // The client does not know its length.
		}
		response, err := http.Post(url, "text/plain", body)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%d bytes, chunked %t: status %d, want %d", c.size, c.chunked, response.StatusCode, c.status)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for memory.Reserved() != 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if memory.Reserved() != 0 {
		t.Errorf("%d bytes are still reserved", memory.Reserved())
	}
}
