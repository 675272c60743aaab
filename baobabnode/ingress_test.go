package baobabnode

import (
	"testing"
	"time"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// fixedReadiness is a readiness that does not change: the reason why not, or empty if ready.
type fixedReadiness string

func (r fixedReadiness) Ready(time.Time) (bool, string) { return r == "", string(r) }

// A testResource is a resource to parse.
type testResource struct {
	kind       configuration.Kind
	name, text string
}

// newTestIngress returns an ingress with a configuration in force and an endpoint of the service "lanes".
func newTestIngress(t *testing.T, now time.Time, extra ...testResource) *Ingress {
	t.Helper()
	var resources []configuration.Resource
	for _, r := range append(extra, []testResource{
		{"service", "lanes", `{}`},
		{"service", "bills", `{}`},
		{"policy", "p", `{"ranks":[{"name":"urgent","priority":1,"target":"1s"},{"name":"normal","priority":2,"target":"1s"},{"name":"late","priority":3,"target":"1s"}]}`},
		{"route", "lanes", `{"path_prefix":"/lanes","service":"lanes","policy":"p","rank":"normal","timeout":"2s"}`},
		{"route", "long", `{"path_prefix":"/long","service":"lanes","policy":"p","rank":"normal","timeout":"1h"}`},
		{"route", "keyed", `{"path_prefix":"/keyed","service":"lanes","policy":"p","rank":"normal","timeout":"2s","require_idempotency_key":true}`},
		{"route", "bills", `{"path_prefix":"/bills","service":"bills","policy":"p","rank":"normal","timeout":"2s"}`},
		{"selector", "all", `{"routes":["*"]}`},
	}...) {
		parsed, err := configuration.ParseResource(r.kind, r.name, []byte(r.text))
		if err != nil {
			t.Fatal(err)
		}
		resources = append(resources, parsed)
	}
	document, err := configuration.NewDocument(resources)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := configuration.NewSnapshot(1, document)
	view, err := configuration.NewView(snapshot, configuration.NewLabels(nil))
	if err != nil {
		t.Fatal(err)
	}
	board := blackboard.NewBoard()
	board.SetActiveConfiguration(blackboard.NewActiveConfiguration(snapshot, view, now))
	endpoint := route.NewCandidate("n1", "127.0.0.1:1", "a", "r", 6, time.Time{})
	board.SetEndpoints(map[string]*route.CandidateSet{"lanes": route.NewCandidateSet("lanes", "a", "r", []route.Candidate{endpoint})})
	return &Ingress{
		board: board, budgets: blackboard.NewShardedMap[budgetKey, *route.Budget](), ready: fixedReadiness(""), dependencies: &dependencyController{}, admitter: &Admitter{},
		defaultTimeout: 5 * time.Second, maxTimeout: 30 * time.Second, now: func() time.Time { return now },
	}
}

// TestIngressRoute guards against a caller that raises its rank or extends its deadline beyond what the route allows,
// and against calls that proceed without a route, an endpoint or a required key.
func TestIngressRoute(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	in := func(d time.Duration) call.Option { return call.WithDeadline(now.Add(d)) }
	for _, c := range []struct {
		name, method, target string
		options              []call.Option
		refusal              call.Reason // Empty if the call is routed.
		rank                 string
		timeout              time.Duration
		idempotent           bool
	}{
		{"as the route says", "GET", "/lanes?x=1", nil, "", "normal", 2 * time.Second, true},
		{"lower rank", "GET", "/lanes", []call.Option{call.WithRank("late")}, "", "late", 2 * time.Second, true},
		{"higher rank", "GET", "/lanes", []call.Option{call.WithRank("urgent")}, "", "normal", 2 * time.Second, true},
		{"unknown rank", "GET", "/lanes", []call.Option{call.WithRank("boss")}, "", "normal", 2 * time.Second, true},
		{"shorter deadline", "GET", "/lanes", []call.Option{in(time.Second)}, "", "normal", time.Second, true},
		{"longer deadline", "GET", "/lanes", []call.Option{in(time.Hour)}, "", "normal", 2 * time.Second, true},
		{"route beyond the node's limit", "GET", "/long", nil, "", "normal", 30 * time.Second, true},
		{"not idempotent", "POST", "/lanes", nil, "", "normal", 2 * time.Second, false},
		{"no key", "POST", "/keyed", nil, call.ReasonKeyRequired, "", 0, false},
		{"key", "POST", "/keyed", []call.Option{call.WithIdempotencyKey("k")}, "", "normal", 2 * time.Second, false},
		{"idempotent without key", "GET", "/keyed", nil, "", "normal", 2 * time.Second, true},
		{"no route", "GET", "/lanesx", nil, call.ReasonNoRoute, "", 0, false},
		{"no endpoint", "GET", "/bills", nil, call.ReasonNoUpstream, "", 0, false},
	} {
		g := newTestIngress(t, now)
		r, refusal := g.route(now, call.NewCall("1", "caller", c.method, "host", c.target, c.options...))
		if refusal != nil || c.refusal != "" {
			if refusal == nil || refusal.Reason() != c.refusal || refusal.Outcome() != call.OutcomeNotRun {
				t.Errorf("%s: refusal %v, want %q", c.name, refusal, c.refusal)
			}
			continue
		}
		if q := r.request; q.rank != c.rank || q.deadline.Sub(now) != c.timeout || q.idempotent != c.idempotent {
			t.Errorf("%s: rank %s, timeout %s, idempotent %t; want %s, %s, %t", c.name, q.rank, q.deadline.Sub(now),
				q.idempotent, c.rank, c.timeout, c.idempotent)
		}
	}
}

// TestIngressStopping guards against a call that a stopping node passes on and cannot answer any more.
func TestIngressStopping(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name      string
		method    string
		left, due time.Duration // Until the end of the shutdown, and the deadline of the call.
		refused   bool
	}{
		{"answered in time", "GET", 3 * time.Second, time.Second, false},
		{"unsafe, answered in time", "POST", 3 * time.Second, time.Second, false},
		{"unsafe, ends with the node", "POST", time.Second, time.Second, true},
		{"ends after the node", "GET", 1500 * time.Millisecond, 2 * time.Second, true},
		{"ends shortly after the node", "GET", 1950 * time.Millisecond, 2 * time.Second, false},
		{"unsafe, ends shortly after the node", "POST", 1950 * time.Millisecond, 2 * time.Second, true},
		{"arrives at the end of the node", "GET", 50 * time.Millisecond, time.Second, true},
	} {
		g := newTestIngress(t, now)
		g.admitter.stop(shutdown{end: now.Add(c.left)})
		_, refusal := g.route(now, call.NewCall("1", "caller", c.method, "host", "/lanes", call.WithDeadline(now.Add(c.due))))
		if refused := refusal != nil; refused != c.refused {
			t.Errorf("%s: refusal %v, want one: %t", c.name, refusal, c.refused)
		}
		if refusal != nil && (refusal.Reason() != call.ReasonDraining || refusal.Outcome() != call.OutcomeNotRun) {
			t.Errorf("%s: refusal %v, want draining and not run", c.name, refusal)
		}
	}
}

// TestIngressNotReady guards against calls through a node whose version may be outdated.
func TestIngressNotReady(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	starting, empty := newTestIngress(t, now), newTestIngress(t, now)
	starting.ready = fixedReadiness("starting")
	empty.board = blackboard.NewBoard()
	for name, g := range map[string]*Ingress{"starting": starting, "without a configuration": empty} {
		_, refusal := g.route(now, call.NewCall("1", "caller", "GET", "host", "/lanes"))
		if refusal == nil || refusal.Reason() != call.ReasonNotReady || refusal.Outcome() != call.OutcomeNotRun {
			t.Errorf("%s: refusal %v, want not_ready", name, refusal)
		}
	}
}
