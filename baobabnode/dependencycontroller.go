package baobabnode

import (
	"fmt"
	"io"
	"sync"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	dependency "github.com/baobabdale/baobabdale/baobabdependency"
	route "github.com/baobabdale/baobabdale/baobabroute"
	settings "github.com/baobabdale/baobabdale/baobabsettings"
)

// A dependencyController relates nested calls to the calls that make them, and limits the calls whose nested calls cannot
// be served.
type dependencyController struct {
	enabled       bool // Nested calls are related to their roots.
	rootAdmission bool
	retryOrder    bool
	tracker       *dependency.Tracker
	decisions     *decisionLog

	mu         sync.Mutex
	inProgress map[string]*rootCall // Calls at the upstream on this VM, by id.
}

// A rootCall is what a nested call inherits from the call that makes it.
type rootCall struct {
	rank      string
	account   string
	deadline  time.Time
	objective time.Time // Zero: none.
	kind      string
	nested    int // Nested calls so far, including this one.
}

func newDependencyController(s settings.Admission, decisions *decisionLog) *dependencyController {
	d := &dependencyController{
		enabled: s.NestedPriority(), rootAdmission: s.RootAdmission(), retryOrder: s.RetryOrder(), decisions: decisions, inProgress: map[string]*rootCall{},
	}
	d.tracker = dependency.NewTracker(d.logChange)
	return d
}

// logChange logs that calls begin or cease to be refused because of the services that the upstream calls.
func (d *dependencyController) logChange(now time.Time, k dependency.KindState) {
	if k.ShortSince().IsZero() {
		d.decisions.write(now, "nested calls find room again", "root", k.Name(), "refused", k.Refused())
		return
	}
	d.decisions.write(now, "nested calls find no room", "root", k.Name(), "service", k.ShortOf(), "share", k.Share())
}

// root returns the call in progress at the upstream on this VM that makes c, and whether there is one.
func (d *dependencyController) root(_ time.Time, c *call.Call) (rootCall, bool) {
	if !d.enabled || c.ParentID() == "" {
		return rootCall{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	root, ok := d.inProgress[c.ParentID()]
	if !ok {
		return rootCall{}, false
	}
	root.nested++
	return *root, true
}

// track registers a call that starts at the upstream on this VM. The returned function ends the registration.
func (d *dependencyController) track(now time.Time, r *admissionRequest) func() {
	if !d.enabled {
		return func() {}
	}
	id := r.call.ID()
	root := &rootCall{rank: r.rank, account: r.admissionCaller(), deadline: r.deadline, objective: r.objective, kind: r.kind()}
	d.tracker.RecordStart(now, root.kind)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress[id] = root
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		// A repeated call with the same id has its own registration.
		if d.inProgress[id] == root {
			delete(d.inProgress, id)
		}
	}
}

// admitRoot refuses a call if the services that its upstream would call lack room.
func (d *dependencyController) admitRoot(now time.Time, r *admissionRequest) *call.Refusal {
	if !d.rootAdmission {
		return nil
	}
	kind := r.kind()
	admitted, retryAfter := d.tracker.RootAdmission(now, kind, r.call.ID())
	if admitted {
		return nil
	}
	detail := "a service that the upstream calls lacks room"
	if state, ok := d.tracker.Kind(kind); ok {
		detail = fmt.Sprintf("the upstream calls %s, which lacks room for %v; %.0f%% of such calls start",
			state.ShortOf(), now.Sub(state.ShortSince()).Round(time.Millisecond), 100*state.Share())
	}
	return call.NewRefusal(call.ReasonDependencyShort, call.OutcomeNotRun, detail).WithRetryAfter(retryAfter)
}

// observeNested records how a nested call from the upstream on this VM ended. Exactly one of answer and refusal is set.
func (d *dependencyController) observeNested(now time.Time, r *admissionRequest, _ *call.Answer, refusal *call.Refusal,
	took time.Duration) {
	if !d.enabled || r.rootKind == "" {
		return
	}
	d.tracker.RecordNested(now, r.rootKind, r.service, r.nestedNumber == 1, dependency.EndingOf(refusal), took)
}

// observeAttempt records in the retry budget of a service whether an attempt found room there.
func (d *dependencyController) observeAttempt(now time.Time, b *route.Budget, result attemptResult) {
	if d.retryOrder {
		b.RecordRoom(now, result.refusal != nil && dependency.LacksRoom(result.refusal))
	}
}

// leavesBudget reports whether a call leaves a part of the retry budget to more urgent ones.
func (d *dependencyController) leavesBudget(r *routedCall) bool {
	return d.retryOrder && !r.request.nested && !r.mostUrgent
}

// writeMetrics writes the state of each kind of root. Kinds come from calls, and their number is bounded.
func (d *dependencyController) writeMetrics(w io.Writer) {
	for _, k := range d.tracker.Kinds() {
		_, _ = fmt.Fprintf(w, "baobab_dependency_root_share{root=%q} %g\n", k.Name(), k.Share())
		_, _ = fmt.Fprintf(w, "baobab_dependency_roots_refused_total{root=%q} %d\n", k.Name(), k.Refused())
		_, _ = fmt.Fprintf(w, "baobab_dependency_roots_started_total{root=%q} %d\n", k.Name(), k.Started())
		_, _ = fmt.Fprintf(w, "baobab_dependency_short_since_timestamp_seconds{root=%q,service=%q} %.3f\n", k.Name(), k.ShortOf(), unixSeconds(k.ShortSince()))
		for _, s := range k.Services() {
			_, _ = fmt.Fprintf(w, "baobab_dependency_nested_seconds{root=%q,service=%q} %g\n", k.Name(), s.Service(), s.Latency().Seconds())
			for _, e := range dependency.Endings() {
				_, _ = fmt.Fprintf(w, "baobab_dependency_nested_total{root=%q,service=%q,ending=%q} %d\n", k.Name(), s.Service(), e, s.Calls(e))
			}
		}
	}
}
