package baobabplatform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// TestSilentConnections guards against a requester that tries one connection after the other that has gone silent, each for
// the timeout of a request, although new connections work.
func TestSilentConnections(t *testing.T) {
	const connections = 4
	var mu sync.Mutex
	silent := map[string]bool{} // Remote addresses of the connections without responses; guarded by mu.
	var first sync.WaitGroup    // Keeps the first requests in flight together, so that each has a connection.
	first.Add(connections)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/first" {
			mu.Lock()
			silent[r.RemoteAddr] = true
			mu.Unlock()
			first.Done()
			first.Wait()
			return
		}
		mu.Lock()
		isSilent := silent[r.RemoteAddr]
		mu.Unlock()
		if isSilent {
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	requester, err := NewRequester(server.URL, WithTimeout(30*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer requester.Close()
	read := func(path string, timeout time.Duration) error {
		_, err := requester.ReadWithTimeout(context.Background(), timeout, "read", path)
		return err
	}
	var all sync.WaitGroup
	for range connections {
		all.Go(func() {
			if err := read("/first", 30*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if err := read("/second", 100*time.Millisecond); err == nil {
		t.Fatal("a request on a silent connection has a response")
	}
	if err := read("/third", 10*time.Second); err != nil {
		t.Errorf("the next request: %v", err)
	}
}
