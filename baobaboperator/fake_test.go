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
	err       error // Returned by the operations if it is not nil.
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
	return list, f.err
}

func (f *fakeService) GetResource(_ context.Context, kind Kind, name string) (Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.resources[string(kind)+"/"+name]
	if !ok {
		return r, NewError("get", ErrorNotFound, "no such resource")
	}
	return r, f.err
}

func (f *fakeService) SetResource(_ context.Context, _ time.Time, kind Kind, name string, text []byte,
	expectedRevision uint64) (Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(kind) + "/" + name
	old := f.resources[key]
	if old.Revision != expectedRevision {
		return old, NewError("set", ErrorConflict, "changed", WithCurrent(old))
	}
	f.revision++
	f.resources[key] = Resource{Kind: kind, Name: name, Revision: f.revision, Text: text}
	return f.resources[key], f.err
}

func (f *fakeService) DeleteResource(_ context.Context, _ time.Time, kind Kind, name string, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(kind) + "/" + name
	if _, ok := f.resources[key]; !ok {
		return NewError("delete", ErrorNotFound, "no such resource")
	}
	delete(f.resources, key)
	return f.err
}

func (f *fakeService) Diff(context.Context) (Diff, error) { return Diff{}, f.err }

func (f *fakeService) Accept(_ context.Context, _ time.Time, operationID, _ string) (Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return Version{}, f.err
	}
	if v, ok := f.accepted[operationID]; ok {
		return v, nil
	}
	f.accepted[operationID] = Version{Number: uint64(len(f.accepted) + 1), Digest: "d"}
	return f.accepted[operationID], nil
}

func (f *fakeService) Status(_ context.Context, now time.Time) (Status, error) {
	return Summarize(now, "n1", Version{}, nil), f.err
}

// fakeReadiness is the reason why the node is not ready; empty when it is ready.
type fakeReadiness string

func (f fakeReadiness) Ready(time.Time) (bool, string) { return f == "", string(f) }

func newTestServer(service Service, set *metrics.Set) *Server {
	clock := func() time.Time { return testTime }
	return NewServer(service, fakeReadiness(""), testToken, WithClock(clock), WithMetrics(set), WithMaxBodyBytes(256))
}

// startServer serves on loopback and returns the base URL. If wrap is not nil, it wraps the handler to inject faults.
func startServer(t *testing.T, service Service, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	var h http.Handler = newTestServer(service, metrics.NewSet())
	if wrap != nil {
		h = wrap(h)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// dropResponses serves the first n requests but closes the connection instead of responding.
func dropResponses(n int) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		var mu sync.Mutex
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			drop := n > 0
			n--
			mu.Unlock()
			if !drop {
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
	c, err := NewClient(addresses, testToken, WithRoundDelay(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// unreachableAddress has no listener; only the superuser can listen on the port.
const unreachableAddress = "127.0.0.1:1"

func unavailableError() error { return NewError("fake", ErrorUnavailable, "down") }

func (f *fakeService) Node(context.Context, time.Time) (NodeView, error) {
	return NodeView{Node: "a"}, nil
}
