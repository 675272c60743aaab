package baobabnode

import (
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	call "github.com/baobabdale/baobabdale/baobabcall"
	settings "github.com/baobabdale/baobabdale/baobabsettings"
)

// testAdmission returns settings of admission control with the given keys.
func testAdmission(t *testing.T, keys string) settings.Admission {
	t.Helper()
	s, err := settings.Parse("node.ini", []byte("[node]\nid = n\nfailure_domain = a\nregion = r\n"+
		"[listen]\nentry_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\noperator_address = 127.0.0.1:3\n"+
		"announce_address = 127.0.0.1:4\n[platform]\nurl = http://127.0.0.1:5\n[peers]\nauthentication = network\n"+
		"[operator]\naccess = none\n[admission]\n"+keys), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s.Admission()
}

// TestNestedCall guards against nested calls that lose the rank, the account, the deadline or the objective of their root,
// and against calls that inherit from a root that is not in progress here.
func TestNestedCall(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	g := newTestIngress(t, now)
	g.dependencies = newDependencyController(testAdmission(t, "nested_priority = on\n"), newDecisionLog(nil, metrics.NewSet()))
	root := &admissionRequest{
		call: call.NewCall("r", "caller", "GET", "host", "/roots", call.WithAccount("account")), rank: "urgent",
		deadline: now.Add(time.Second), objective: now.Add(300 * time.Millisecond),
	}
	nested := func(id, parent string) *admissionRequest {
		r, refusal := g.route(now, call.NewCall(id, "127.0.0.1", "GET", "host", "/lanes", call.WithParentID(parent)))
		if refusal != nil {
			t.Fatal(refusal)
		}
		return r.request
	}
	if r := nested("r.0", "r"); r.nested || r.rank != "normal" {
		t.Errorf("before its root: %+v", r)
	}
	untrack := g.dependencies.track(now, root)
	r := nested("r.1", "r")
	if !r.nested || r.rank != "urgent" || !r.deadline.Equal(root.deadline) || !r.objective.Equal(root.objective) ||
		r.admissionCaller() != "account" || r.call.Account() != "" || r.rootKind != "GET roots" || r.nestedNumber != 1 {
		t.Errorf("nested call: %+v", r)
	}
	if m := toWireCall(now, r, 1); m.GetAccount() != "account" || !m.GetNested() {
		t.Errorf("between nodes: %+v", m)
	}
	if r := nested("x.1", "x"); r.nested {
		t.Error("a call of an unknown parent is nested")
	}
	untrack()
	if r := nested("r.2", "r"); r.nested {
		t.Error("a call is nested after its root has ended")
	}
}

// TestRootRefusal guards against roots that are refused as if they had run, or for refusals that do not show a lack of
// room, and against a setting that has no effect.
func TestRootRefusal(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		keys    string
		reason  call.Reason
		refuses bool
	}{
		{"nested_priority = on\nroot_admission = on\n", call.ReasonQueueFull, true},
		{"nested_priority = on\nroot_admission = on\n", call.ReasonUpstreamShed, false},
		{"nested_priority = on\nroot_admission = on\n", call.ReasonUpstreamUnavailable, false},
		{"nested_priority = on\n", call.ReasonQueueFull, false},
	} {
		log := newDecisionLog(nil, metrics.NewSet())
		log.limit.SetBurst(0)
		d := newDependencyController(testAdmission(t, c.keys), log)
		root := &admissionRequest{call: call.NewCall("r", "caller", "GET", "host", "/roots")}
		refused := 0
		for i := range 400 {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			d.track(at, root)()
			nested := &admissionRequest{service: "s", rootKind: root.kind(), nestedNumber: 1}
			d.observeNested(at, nested, nil, call.NewRefusal(c.reason, call.OutcomeNotRun, ""), time.Millisecond)
			other := &admissionRequest{call: call.NewCall(strconv.Itoa(i), "caller", "GET", "host", "/roots")}
			if refusal := d.admitRoot(at, other); refusal != nil {
				refused++
				if refusal.Reason() != call.ReasonDependencyShort || refusal.Outcome() != call.OutcomeNotRun || refusal.RetryAfter() <= 0 {
					t.Errorf("refusal %v", refusal)
				}
			}
		}
		if c.refuses != (refused > 200) || !c.refuses && refused > 0 {
			t.Errorf("%q after %s: %d of 400 roots refused", c.keys, c.reason, refused)
		}
	}
}
