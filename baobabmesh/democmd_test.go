package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestDemo guards against a failure of the first command in the README. Requests that are sent before the upstreams have
// announced themselves are refused.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	for _, deployment := range []string{"booking", "repair"} {
		c := demoCmd{Deployment: deployment}
		if err := c.run(ctx); err != nil {
			t.Errorf("%s: %v", deployment, err)
		}
	}
}

// TestSendWithRetry guards against a demo that fails on a busy machine, where the second request with a key may arrive
// before the answer to the first is recorded, and against retries after other refusals.
func TestSendWithRetry(t *testing.T) {
	for _, c := range []struct {
		name     string
		reason   call.Reason
		status   int
		answered bool
		attempts int
	}{
		{"in progress", call.ReasonInProgress, http.StatusConflict, true, 2},
		{"no upstream", call.ReasonNoUpstream, http.StatusServiceUnavailable, false, 1},
	} {
		attempts := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if attempts++; attempts > 1 {
				return
			}
			w.Header().Set("Baobab-Refusal", string(c.reason))
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(c.status)
		}))
		err := sendWithRetry(t.Context(), server.URL,
			baobabemulator.DemoRequest{Method: http.MethodPost, Target: "/deposits/payments"})
		server.Close()
		if (err == nil) != c.answered || attempts != c.attempts {
			t.Errorf("%s: %v after %d attempts, want answered: %t after %d", c.name, err, attempts, c.answered, c.attempts)
		}
	}
}
