package baobaboperator

import (
	"errors"
	"net/http"
	"testing"
)

// TestAcceptOnce guards against a candidate that is accepted twice because a response was lost.
func TestAcceptOnce(t *testing.T) {
	for _, c := range []struct {
		name       string
		dropped    int // Responses that the first node drops.
		singleNode bool
	}{
		{"response arrives", 0, false},
		{"lost, then the other node", 1, false},
		{"lost, then the same node", 1, true},
		{"lost twice", 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := newFakeService()
			addresses := []string{startServer(t, service, dropResponses(c.dropped))}
			if !c.singleNode {
				addresses = append(addresses, startServer(t, service, nil))
			}
			a, err := newTestClient(t, addresses...).Accept(t.Context(), "op", "")
			if err != nil || a.Version.Number != 1 {
				t.Errorf("Accept() = %v, %v, want version 1", a, err)
			}
			if len(service.accepted) != 1 {
				t.Errorf("%d versions accepted, want 1", len(service.accepted))
			}
		})
	}
}

// TestEditWithLostResponse guards against an edit that conflicts with an earlier attempt of itself.
func TestEditWithLostResponse(t *testing.T) {
	service := newFakeService()
	c := newTestClient(t, startServer(t, service, dropResponses(1)))
	r, err := c.SetResource(t.Context(), KindService, "quotes", []byte(`{"labels":{}}`), 0)
	if err != nil || r.Revision != 1 {
		t.Fatalf("SetResource() = %v, %v, want revision 1", r, err)
	}
	c = newTestClient(t, startServer(t, service, dropResponses(1)))
	if err := c.DeleteResource(t.Context(), KindService, "quotes", 1); err != nil {
		t.Errorf("DeleteResource() = %v", err)
	}
	if len(service.resources) != 0 {
		t.Errorf("%d resources, want none", len(service.resources))
	}
}

// TestConflictReturnsCurrentResource guards against a conflict that does not carry the newer resource.
func TestConflictReturnsCurrentResource(t *testing.T) {
	service := newFakeService()
	c := newTestClient(t, startServer(t, service, nil))
	if _, err := c.SetResource(t.Context(), KindService, "quotes", []byte(`{"a":1}`), 0); err != nil {
		t.Fatal(err)
	}
	_, err := c.SetResource(t.Context(), KindService, "quotes", []byte(`{"a":1}`), 0)
	var e *Error
	if !errors.As(err, &e) || e.Kind() != ErrorConflict {
		t.Fatalf("SetResource() = %v, want a conflict", err)
	}
	if r, ok := e.Current(); !ok || r.Revision != 1 || string(r.Text) != `{"a":1}` {
		t.Errorf("Current() = %v, %t, want revision 1", r, ok)
	}
}

// TestFailover guards against a client that stops at an unavailable node, or reports a definite outcome of a request
// that may have been applied.
func TestFailover(t *testing.T) {
	down := newFakeService()
	down.err = unavailableError()
	fault := newFakeService()
	fault.err = NewError("fake", ErrorInternal, "fault")
	good := startServer(t, newFakeService(), nil)
	lossy := startServer(t, newFakeService(), dropResponses(1000))
	for _, c := range []struct {
		name      string
		addresses []string
		read      ErrorKind
		accept    ErrorKind
	}{
		{"no listener, then good", []string{unreachableAddress, good}, "", ""},
		{"unavailable, then good", []string{startServer(t, down, nil), good}, "", ""},
		{"lost, then good", []string{lossy, good}, "", ""},
		{"no listener", []string{unreachableAddress}, ErrorUnavailable, ErrorUnavailable},
		{"unavailable", []string{startServer(t, down, nil)}, ErrorUnavailable, ErrorUnavailable},
		{"always lost", []string{lossy}, ErrorUnavailable, ErrorUnknownOutcome},
		{"lost, then unavailable", []string{lossy, unreachableAddress}, ErrorUnavailable, ErrorUnknownOutcome},
		{"fault", []string{startServer(t, fault, nil)}, ErrorInternal, ErrorInternal},
		{"lost, then fault", []string{lossy, startServer(t, fault, nil)}, ErrorInternal, ErrorUnknownOutcome},
		{"no API", []string{startServer(t, down, func(http.Handler) http.Handler { return http.NotFoundHandler() })},
			ErrorNotFound, ErrorNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := newTestClient(t, c.addresses...)
			_, err := client.Diff(t.Context())
			if got := kindOrNone(err); got != c.read {
				t.Errorf("Diff() = %v, want kind %q", err, c.read)
			}
			_, err = client.Accept(t.Context(), "op", "")
			if got := kindOrNone(err); got != c.accept {
				t.Errorf("Accept() = %v, want kind %q", err, c.accept)
			}
			var e *Error
			if errors.As(err, &e) && e.OperationID() != "op" {
				t.Errorf("OperationID() = %q, want op", e.OperationID())
			}
		})
	}
}

func kindOrNone(err error) ErrorKind {
	if err == nil {
		return ""
	}
	return ErrorKindOf(err)
}

// TestNewClient guards against invalid addresses that are accepted and fail only in a request.
func TestNewClient(t *testing.T) {
	for _, c := range []struct {
		addresses []string
		ok        bool
	}{
		{[]string{"127.0.0.1:1"}, true}, {[]string{"https://127.0.0.1:1/"}, true},
		{nil, false}, {[]string{""}, false}, {[]string{"127.0.0.1"}, false}, {[]string{":1"}, false},
	} {
		if _, err := NewClient(c.addresses, testToken); (err == nil) != c.ok {
			t.Errorf("NewClient(%q) = %v, want ok %t", c.addresses, err, c.ok)
		}
	}
}
