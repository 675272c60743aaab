package baobaboperator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// TestServerResponses guards against a wrong status code, and against invalid requests that reach the service.
func TestServerResponses(t *testing.T) {
	const match, none = "If-Match", "If-None-Match"
	for _, c := range []struct {
		name, method, path, body string
		header                   []string // Name and value.
		fail                     error
		status                   int
		contains                 string
	}{
		{"list", "GET", "/v1/resources", "", nil, nil, 200, `{"resources":[{"kind":"service","name":"quotes"`},
		{"list of unknown kind", "GET", "/v1/resources?kind=tea", "", nil, nil, 400, `unknown kind \"tea\"`},
		{"get", "GET", "/v1/resources/service/quotes", "", nil, nil, 200, `"revision":1,"text":{}}`},
		{"get of missing", "GET", "/v1/resources/service/none", "", nil, nil, 404, `"kind":"not_found"`},
		{"name with space", "GET", "/v1/resources/service/a%20b", "", nil, nil, 400, `"kind":"invalid"`},
		{"set new", "PUT", "/v1/resources/route/r", "{}", []string{none, "*"}, nil, 200, `"revision":2`},
		{"set changed", "PUT", "/v1/resources/service/quotes", "{}", []string{match, `"1"`}, nil, 200, `"revision":2`},
		{"set conflict", "PUT", "/v1/resources/service/quotes", "{}", []string{match, `"9"`}, nil, 409,
			`"current":{"kind":"service","name":"quotes","revision":1,"text":{}}`},
		{"set without revision", "PUT", "/v1/resources/route/r", "{}", nil, nil, 400, "is required"},
		{"set with both", "PUT", "/v1/resources/route/r", "{}", []string{none, "*", match, `"1"`}, nil, 400, "is required"},
		{"set with bad revision", "PUT", "/v1/resources/route/r", "{}", []string{match, "x"}, nil, 400, "not a quoted revision"},
		{"set without JSON", "PUT", "/v1/resources/route/r", "{", []string{none, "*"}, nil, 422, `"problems":["the text is not JSON"]`},
		{"set too large", "PUT", "/v1/resources/route/r", strings.Repeat(" ", 257), []string{none, "*"}, nil, 413, "more than 256 bytes"},
		{"delete", "DELETE", "/v1/resources/service/quotes", "", []string{match, `"1"`}, nil, 200, "{}"},
		{"delete without revision", "DELETE", "/v1/resources/service/quotes", "", []string{none, "*"}, nil, 400, "If-Match"},
		{"accept", "POST", "/v1/accept", `{"operation_id":"o"}`, nil, nil, 200,
			`{"operation_id":"o","version":{"number":1,"digest":"d"}}`},
		{"accept without id", "POST", "/v1/accept", `{}`, nil, nil, 400, "operation_id is required"},
		{"accept with unknown field", "POST", "/v1/accept", `{"operation":"o"}`, nil, nil, 400, "unknown field"},
		{"accept rejected", "POST", "/v1/accept", `{"operation_id":"o"}`, nil,
			NewError("accept", ErrorRejected, "invalid", WithProblems([]string{"b", "a"})), 422, `"problems":["a","b"]`},
		{"accept unavailable", "POST", "/v1/accept", `{"operation_id":"o"}`, nil, unavailableError(), 503, `"kind":"unavailable"`},
		{"accept unknown", "POST", "/v1/accept", `{"operation_id":"o"}`, nil, context.DeadlineExceeded, 504, `"operation_id":"o"`},
		{"accept fault", "POST", "/v1/accept", `{"operation_id":"o"}`, nil, errors.New("x"), 500, `"kind":"internal"`},
		{"read that runs out of time", "GET", "/v1/diff", "", nil, context.DeadlineExceeded, 503, `"kind":"unavailable"`},
		{"status", "GET", "/v1/status", "", nil, nil, 200, `"node":"n1","time":"2026-12-04T04:00:00Z"`},
		{"unknown path", "GET", "/v1/tea", "", nil, nil, 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := newFakeService()
			service.revision = 1
			service.resources["service/quotes"] = Resource{Kind: KindService, Name: "quotes", Revision: 1, Text: []byte("{}")}
			service.err = c.fail
			req := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer "+testToken)
			for i := 0; i < len(c.header); i += 2 {
				req.Header.Set(c.header[i], c.header[i+1])
			}
			w := httptest.NewRecorder()
			newTestServer(service, metrics.NewSet()).ServeHTTP(w, req)
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.contains) {
				t.Errorf("response %d %s, want %d with %s", w.Code, w.Body, c.status, c.contains)
			}
		})
	}
}

// TestTokenIsRequired guards against a route under /v1 that serves requests without the token.
func TestTokenIsRequired(t *testing.T) {
	set := metrics.NewSet()
	server := newTestServer(newFakeService(), set)
	refused := 0
	for _, value := range []string{"", "Bearer ", "Bearer x", "Basic " + testToken, testToken, "Bearer " + testToken + "x"} {
		for _, path := range []string{"/v1/status", "/v1/resources", "/v1/tea"} {
			req := httptest.NewRequest(http.MethodGet, path, nil)
			req.Header.Set("Authorization", value)
			w := httptest.NewRecorder()
			server.ServeHTTP(w, req)
			if w.Code != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d, want 401", path, value, w.Code)
			}
			refused++
		}
	}
	n := uint64(0)
	for _, cause := range []string{"missing", "wrong"} {
		n += set.GetOrCreateCounter(fmt.Sprintf("baobab_operator_unauthorized_total{cause=%q}", cause)).Get()
	}
	if n != uint64(refused) {
		t.Errorf("%d unauthorized requests counted, want %d", n, refused)
	}
	req := httptest.NewRequest(http.MethodGet, "/v1/status", nil)
	req.Header.Set("Authorization", "Bearer ")
	w := httptest.NewRecorder()
	NewServer(newFakeService(), fakeReadiness(""), "").ServeHTTP(w, req)
	if w.Code != http.StatusUnauthorized {
		t.Errorf("a server with an empty token responds with status %d, want 401", w.Code)
	}
}

// TestHealthEndpoints guards against a node that reports ready while it is not, and against metrics that are missing.
func TestHealthEndpoints(t *testing.T) {
	set := metrics.NewSet()
	set.GetOrCreateCounter("example_total").Inc()
	for _, c := range []struct {
		path, reason string // The reason is empty when the node is ready.
		status       int
		contains     string
	}{
		{"/healthz", "starting", 200, "ok"},
		{"/readyz", "", 200, "ready"},
		{"/readyz", "no peer answered", 503, "no peer answered"},
		{"/metrics", "", 200, "example_total 1"},
	} {
		server := NewServer(newFakeService(), fakeReadiness(c.reason), testToken, WithMetrics(set))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.contains) {
			t.Errorf("%s: %d %.80s, want %d with %s", c.path, w.Code, w.Body, c.status, c.contains)
		}
	}
}
