package baobabplatform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	emulator "github.com/baobabdale/baobabdale/baobabemulator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, h http.Handler, options ...platform.RequesterOption) *platform.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c, err := platform.NewClient(s.URL, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func putTransaction(key, value string) platform.Transaction {
	return platform.NewTransaction().Put(key, []byte(value)).Build()
}

// TestErrorKinds guards against a failure that is wrongly reported as of known or of unknown outcome.
func TestErrorKinds(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	truncated := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, `{"revision":`)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		commit  platform.Kind
		get     platform.Kind
	}{
		{"connection lost", abort, platform.KindUnknownOutcome, platform.KindUnavailable},
		{"truncated response", truncated(200), platform.KindUnknownOutcome, platform.KindUnavailable},
		{"truncated conflict", truncated(409), platform.KindUnavailable, platform.KindUnavailable},
		{"not JSON", respond(200, "<html>"), platform.KindUnknownOutcome, platform.KindUnavailable},
		{"no revision", respond(200, "{}"), platform.KindUnknownOutcome, platform.KindUnavailable},
		{"conflict", respond(409, `{"rows":[]}`), platform.KindConflict, platform.KindConflict},
		{"throttled", respond(429, ""), platform.KindThrottled, platform.KindThrottled},
		{"refused", respond(503, ""), platform.KindUnavailable, platform.KindUnavailable},
		{"internal error", respond(500, ""), platform.KindUnknownOutcome, platform.KindUnavailable},
		{"bad gateway", respond(502, ""), platform.KindUnknownOutcome, platform.KindUnavailable},
		{"gateway timeout", respond(504, ""), platform.KindUnknownOutcome, platform.KindUnavailable},
		{"bad request", respond(400, ""), platform.KindInvalid, platform.KindInvalid},
		{"404 of another service", respond(404, "no such page"), platform.KindInvalid, platform.KindInvalid},
		{"too large", respond(200, strings.Repeat(" ", 2000)), platform.KindUnknownOutcome, platform.KindUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newClient(t, tt.handler, platform.WithMaxResponseBytes(1000))
			if _, err := c.Commit(context.Background(), putTransaction("k", "v")); platform.KindOf(err) != tt.commit {
				t.Errorf("Commit() = %v, want kind %s", err, tt.commit)
			}
			if _, _, err := c.Get(context.Background(), "k"); platform.KindOf(err) != tt.get {
				t.Errorf("Get() = %v, want kind %s", err, tt.get)
			}
		})
	}
}

// TestUnsentCommitIsUnavailable guards against reporting an unknown outcome when nothing was sent.
func TestUnsentCommitIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := "http://" + l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	c, err := platform.NewClient(address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Commit(context.Background(), putTransaction("k", "v")); platform.KindOf(err) != platform.KindUnavailable {
		t.Errorf("Commit() with connection refused = %v, want kind unavailable", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.Commit(ctx, putTransaction("k", "v")); platform.KindOf(err) != platform.KindUnavailable {
		t.Errorf("Commit() with cancelled context = %v, want kind unavailable", err)
	}
}

// TestCommitIsSentOnce guards against a write that net/http sends again after a redirect, or after a kept-alive
// connection is lost.
func TestCommitIsSentOnce(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.String(), http.StatusTemporaryRedirect)
		}},
		{"connection lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int32
			c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					_, _ = io.WriteString(w, `{"rows":[]}`)
					return
				}
				sent.Add(1)
				tt.handler(w, r)
			}))
			// This request leaves a kept-alive connection, on which net/http may resend a request.
			if _, err := c.Scan(context.Background(), ""); err != nil {
				t.Fatal(err)
			}
			_, err := c.Commit(context.Background(), putTransaction("k", "v"))
			if platform.KindOf(err) != platform.KindUnknownOutcome {
				t.Errorf("Commit() = %v, want kind unknown_outcome", err)
			}
			if n := sent.Load(); n != 1 {
				t.Errorf("commit was sent %d times, want 1", n)
			}
		})
	}
}

// TestClientTimeout guards against an operation without a timeout when the platform does not respond.
func TestClientTimeout(t *testing.T) {
	release := make(chan struct{})
	c := newClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }),
		platform.WithTimeout(20*time.Millisecond))
	defer close(release)
	_, err := c.Commit(context.Background(), putTransaction("k", "v"))
	if platform.KindOf(err) != platform.KindUnknownOutcome {
		t.Errorf("Commit() = %v, want kind unknown_outcome", err)
	}
	if _, err := c.Scan(context.Background(), "k"); platform.KindOf(err) != platform.KindUnavailable {
		t.Errorf("Scan() = %v, want kind unavailable", err)
	}
}

// TestClientWithEmulator guards against differences between the protocols of the client and the emulator.
func TestClientWithEmulator(t *testing.T) {
	ctx := context.Background()
	c := newClient(t, emulator.NewPlatform())
	first, err := c.Commit(ctx, platform.NewTransaction().IfAbsent("a/ü?&").Put("a/ü?&", []byte{0, 255}).Put("b", nil).Build())
	if err != nil {
		t.Fatal(err)
	}
	r, ok, err := c.Get(ctx, "a/ü?&")
	if err != nil || !ok || r.Revision() != first || string(r.Value()) != "\x00\xff" {
		t.Errorf("Get() = %v, %v, %v, want the value at revision %d", r, ok, err, first)
	}
	if _, ok, err := c.Get(ctx, "absent"); ok || err != nil {
		t.Errorf("Get(absent) = %v, %v, want no row", ok, err)
	}
	_, err = c.Commit(ctx, platform.NewTransaction().IfRevision("b", first).IfAbsent("a/ü?&").IfAbsent("c").Delete("b").Build())
	conflict, _ := err.(*platform.Error)
	if conflict == nil || conflict.Kind() != platform.KindConflict || len(conflict.Rows()) != 2 {
		t.Fatalf("Commit() = %v, want a conflict with 2 rows", err)
	}
	if _, ok := conflict.Row("c"); ok {
		t.Error("conflict has a row for an absent key")
	}
	if _, err := c.Commit(ctx, platform.NewTransaction().IfRevision("b", first).Delete("b").Build()); err != nil {
		t.Error(err)
	}
	rows, err := c.Scan(ctx, "")
	if err != nil || len(rows) != 1 || rows[0].Key() != "a/ü?&" {
		t.Errorf("Scan() = %v, %v, want one row", rows, err)
	}
	if err := c.PutObject(ctx, "snapshot/1", []byte("x")); err != nil {
		t.Error(err)
	}
	if err := c.PutObject(ctx, "snapshot/1", []byte("x")); err != nil {
		t.Errorf("PutObject() of the same data = %v, want success", err)
	}
	if err := c.PutObject(ctx, "snapshot/1", []byte("y")); platform.KindOf(err) != platform.KindConflict {
		t.Errorf("PutObject() of other data = %v, want a conflict", err)
	}
	if b, err := c.GetObject(ctx, "snapshot/1"); err != nil || string(b) != "x" {
		t.Errorf("GetObject() = %q, %v, want x", b, err)
	}
	if _, err := c.GetObject(ctx, "snapshot/2"); platform.KindOf(err) != platform.KindNotFound {
		t.Errorf("GetObject() = %v, want kind not_found", err)
	}
	if err := c.PutObject(ctx, "a/../b", []byte("x")); platform.KindOf(err) != platform.KindInvalid {
		t.Errorf("PutObject() with a dot segment = %v, want kind invalid", err)
	}
}
