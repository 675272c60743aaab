package baobabplatform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestResponseUnderWay guards against a large response that is given up as lost while it arrives over a slow link.
func TestResponseUnderWay(t *testing.T) {
	const timeout = 2 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/silent" {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/conflict" {
			w.WriteHeader(http.StatusPreconditionFailed)
		}
		for i := range 10 {
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			if r.URL.Path == "/stalls" && i == 1 {
				<-r.Context().Done()
				return
			}
			time.Sleep(timeout / 8)
		}
	}))
	defer server.Close()
	decoded := ""
	requester, err := NewRequester(server.URL, WithTimeout(timeout),
		WithConflict(http.StatusPreconditionFailed, func(data []byte) ([]Row, error) {
			decoded = string(data)
			return nil, nil
		}))
	if err != nil {
		t.Fatal(err)
	}
	defer requester.Close()
	const whole = "partpartpartpartpartpartpartpartpartpart"
	for _, c := range []struct {
		name, path string
		ctx        context.Context
		ok         bool
	}{
		{"steady", "/steady", t.Context(), true},
		{"steady, begins in time", "/steady", WithResponseTimeout(t.Context(), timeout), true},
		{"stalls", "/stalls", t.Context(), false},
		{"does not begin", "/silent", WithResponseTimeout(t.Context(), timeout/8), false},
	} {
		response, err := requester.ReadWithTimeout(c.ctx, timeout, "read", c.path)
		if c.ok != (err == nil) || c.ok && string(response.Data()) != whole || !c.ok && KindOf(err) != KindUnavailable {
			t.Errorf("%s: %q, %v", c.name, response.Data(), err)
		}
	}
	_, err = requester.Write(WithResponseTimeout(t.Context(), timeout), "write", http.MethodPost, "/conflict", "text/plain", nil)
	if KindOf(err) != KindConflict || decoded != whole {
		t.Errorf("conflict: %q, %v", decoded, err)
	}
}
