package baobaboperator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const testToken = "0123456789abcdef"

var testTime = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

// fakeService keeps resources and accepted operations in memory.
type fakeService struct {
	mu        sync.Mutex
	resources map[string]Resource
	revision  uint64
	accepted  map[string]Version
	fail      error // Returned by all operations when set.
}

func newFakeService() *fakeService {
	return &fakeService{resources: map[string]Resource{}, accepted: map[string]Version{}}
}

func (f *fakeService) ListResources(context.Context, Kind) ([]Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Resource
	for _, r := range f.resources {
		list = append(list, r)
	}
	return list, f.fail
}

func (f *fakeService) GetResource(_ context.Context, kind Kind, name string) (Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.resources[string(kind)+"/"+name]
	if !ok {
		return r, NewError("get", ErrorNotFound, "no such resource")
	}
	return r, f.fail
}

func (f *fakeService) SetResource(_ context.Context, _ time.Time, kind Kind, name string, text []byte, expect uint64) (Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(kind) + "/" + name
	old := f.resources[key]
	if old.Revision != expect {
		return old, NewError("set", ErrorConflict, "changed", WithCurrent(old))
	}
	f.revision++
	f.resources[key] = Resource{Kind: kind, Name: name, Revision: f.revision, Text: text}
	return f.resources[key], f.fail
}

func (f *fakeService) DeleteResource(_ context.Context, _ time.Time, kind Kind, name string, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(kind) + "/" + name
	if _, ok := f.resources[key]; !ok {
		return NewError("delete", ErrorNotFound, "no such resource")
	}
	delete(f.resources, key)
	return f.fail
}

func (f *fakeService) Diff(context.Context) (Diff, error) { return Diff{}, f.fail }

func (f *fakeService) Accept(_ context.Context, _ time.Time, operationID, _ string) (Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return Version{}, f.fail
	}
	if v, ok := f.accepted[operationID]; ok {
		return v, nil
	}
	f.accepted[operationID] = Version{Number: uint64(len(f.accepted) + 1), Digest: "d"}
	return f.accepted[operationID], nil
}

func (f *fakeService) Status(_ context.Context, now time.Time) (Status, error) {
	return Summarize(now, "n1", Version{}, nil), f.fail
}

// fakeReadiness is the reason why the node is not ready; empty when it is ready.
type fakeReadiness string

func (f fakeReadiness) Ready(time.Time) (bool, string) { return f == "", string(f) }

func newTestServer(service Service, set *metrics.Set) *Server {
	clock := func() time.Time { return testTime }
	return NewServer(service, fakeReadiness(""), testToken, WithClock(clock), WithMetrics(set), WithMaxBodyBytes(256))
}

// startNode serves on loopback; around may wrap the handler to inject faults.
func startNode(t *testing.T, service Service, around func(http.Handler) http.Handler) string {
	t.Helper()
	var h http.Handler = newTestServer(service, metrics.NewSet())
	if around != nil {
		h = around(h)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// loseAnswers runs the first n requests and closes the connection in place of the answer.
func loseAnswers(n int) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		var mu sync.Mutex
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			lose := n > 0
			n--
			mu.Unlock()
			if !lose {
				next.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
}

func newTestClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := NewClient(addresses, testToken, WithPause(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// deadAddress is one on which nothing listens; only the superuser can open the port.
const deadAddress = "127.0.0.1:1"

func unavailable() error { return NewError("fake", ErrorUnavailable, "down") }

func (f *fakeService) Node(context.Context, time.Time) (NodeView, error) {
	return NodeView{Node: "a"}, nil
}
