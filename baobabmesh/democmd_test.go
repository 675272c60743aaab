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

// TestDemo guards against a first command of the README that fails: requests sent before the upstreams have announced
// themselves are refused.
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

// TestSend guards against a demo that fails on a busy machine, where its second request under a key comes before the
// answer to the first is recorded, and against one that takes another refusal for that.
func TestSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason call.Reason
		status int
		done   bool
		sent   int
	}{
		{"in progress", call.ReasonInProgress, http.StatusConflict, true, 2},
		{"no upstream", call.ReasonNoUpstream, http.StatusServiceUnavailable, false, 1},
	} {
		sent := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if sent++; sent > 1 {
				return
			}
			w.Header().Set("Baobab-Refusal", string(c.reason))
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(c.status)
		}))
		err := send(t.Context(), server.URL, baobabemulator.DemoRequest{Method: http.MethodPost, Target: "/deposits/payments"})
		server.Close()
		if (err == nil) != c.done || sent != c.sent {
			t.Errorf("%s: %v after %d requests, want done: %t after %d", c.name, err, sent, c.done, c.sent)
		}
	}
}
