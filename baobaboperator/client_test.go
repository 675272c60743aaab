package baobaboperator

import (
	"errors"
	"net/http"
	"testing"
)

// TestAcceptOnce guards against a candidate that is accepted twice because the answer was lost.
func TestAcceptOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		lost int // Lost answers of the first of two nodes.
		only bool
	}{
		{"answer arrives", 0, false},
		{"lost, then the other node", 1, false},
		{"lost, then the same node", 1, true},
		{"lost twice", 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := newFakeService()
			addresses := []string{startNode(t, service, loseAnswers(c.lost))}
			if !c.only {
				addresses = append(addresses, startNode(t, service, nil))
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

// TestLostEdits guards against an edit that is reported as a conflict with itself.
func TestLostEdits(t *testing.T) {
	service := newFakeService()
	c := newTestClient(t, startNode(t, service, loseAnswers(1)))
	r, err := c.SetResource(t.Context(), KindService, "quotes", []byte(`{"labels":{}}`), 0)
	if err != nil || r.Revision != 1 {
		t.Fatalf("SetResource() = %v, %v, want revision 1", r, err)
	}
	c = newTestClient(t, startNode(t, service, loseAnswers(1)))
	if err := c.DeleteResource(t.Context(), KindService, "quotes", 1); err != nil {
		t.Errorf("DeleteResource() = %v", err)
	}
	if len(service.resources) != 0 {
		t.Errorf("%d resources, want none", len(service.resources))
	}
}

// TestConflict guards against a conflict that hides the newer value.
func TestConflict(t *testing.T) {
	service := newFakeService()
	c := newTestClient(t, startNode(t, service, nil))
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

// TestNodes guards against a client that stops at an unavailable node, or claims to know what it does not.
func TestNodes(t *testing.T) {
	down := newFakeService()
	down.fail = unavailable()
	fault := newFakeService()
	fault.fail = NewError("fake", ErrorInternal, "fault")
	good := startNode(t, newFakeService(), nil)
	lossy := startNode(t, newFakeService(), loseAnswers(1000))
	for _, c := range []struct {
		name      string
		addresses []string
		read      ErrorKind
		accept    ErrorKind
	}{
		{"no listener, then good", []string{deadAddress, good}, "", ""},
		{"unavailable, then good", []string{startNode(t, down, nil), good}, "", ""},
		{"lost, then good", []string{lossy, good}, "", ""},
		{"no listener", []string{deadAddress}, ErrorUnavailable, ErrorUnavailable},
		{"unavailable", []string{startNode(t, down, nil)}, ErrorUnavailable, ErrorUnavailable},
		{"always lost", []string{lossy}, ErrorUnavailable, ErrorUnknownOutcome},
		{"lost, then unavailable", []string{lossy, deadAddress}, ErrorUnavailable, ErrorUnknownOutcome},
		{"fault", []string{startNode(t, fault, nil)}, ErrorInternal, ErrorInternal},
		{"lost, then fault", []string{lossy, startNode(t, fault, nil)}, ErrorInternal, ErrorUnknownOutcome},
		{"no API", []string{startNode(t, down, func(http.Handler) http.Handler { return http.NotFoundHandler() })},
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
	return KindOf(err)
}

// TestNewClient guards against addresses that fail only later.
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
