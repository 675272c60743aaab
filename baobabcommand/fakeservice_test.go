package baobabcommand

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	operator "github.com/baobabdale/baobabdale/baobaboperator"
)

var testTime = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

// fakeService is an in-memory mesh behind the operator API.
type fakeService struct {
	mu                      sync.Mutex
	edits                   map[string]operator.Resource
	revision                uint64
	inForce                 map[string]operator.Resource
	version                 operator.Version
	accepted                map[string]operator.Version
	reports                 []operator.NodeReport
	statusCallsUntilUpdated int                // The last of them gives all nodes the newest version; 0 means never.
	concurrentText          []byte             // Text that another operator sets just before the next SetResource; nil means none.
	errorKind               operator.ErrorKind // Returned by all operations if not empty.
}

func newFakeService() *fakeService {
	return &fakeService{
		edits: map[string]operator.Resource{}, inForce: map[string]operator.Resource{},
		accepted: map[string]operator.Version{},
	}
}

func (f *fakeService) injectedError(operation string) error {
	if f.errorKind == "" {
		return nil
	}
	return operator.NewError(operation, f.errorKind, "injected")
}

func (f *fakeService) ListResources(_ context.Context, kind operator.Kind) ([]operator.Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []operator.Resource
	for _, r := range sorted(f.edits) {
		if kind == "" || r.Kind == kind {
			list = append(list, r)
		}
	}
	return list, f.injectedError("list")
}

func (f *fakeService) GetResource(_ context.Context, kind operator.Kind, name string) (operator.Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.edits[string(kind)+"/"+name]
	if !ok {
		return r, operator.NewError("get", operator.ErrorNotFound, fmt.Sprintf("%s/%s does not exist", kind, name))
	}
	return r, f.injectedError("get")
}

func (f *fakeService) SetResource(_ context.Context, _ time.Time, kind operator.Kind, name string, text []byte,
	expectedRevision uint64,
) (operator.Resource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectedError("set"); err != nil {
		return operator.Resource{}, err
	}
	if f.concurrentText != nil {
		f.store(kind, name, f.concurrentText)
		f.concurrentText = nil
	}
	old := f.edits[string(kind)+"/"+name]
	if old.Revision != expectedRevision {
		return old, operator.NewError("set", operator.ErrorConflict, fmt.Sprintf("%s/%s was changed", kind, name), operator.WithCurrent(old))
	}
	if bytes.Contains(text, []byte("bad_field")) {
		problems := operator.WithProblems([]string{"unknown field bad_field"})
		return old, operator.NewError("set", operator.ErrorRejected, "the text is not valid", problems)
	}
	return f.store(kind, name, text), nil
}

func (f *fakeService) store(kind operator.Kind, name string, text []byte) operator.Resource {
	f.revision++
	r := operator.Resource{Kind: kind, Name: name, Revision: f.revision, Text: text}
	f.edits[string(kind)+"/"+name] = r
	return r
}

func (f *fakeService) DeleteResource(_ context.Context, _ time.Time, kind operator.Kind, name string,
	expectedRevision uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(kind) + "/" + name
	if old := f.edits[key]; old.Revision != expectedRevision {
		return operator.NewError("delete", operator.ErrorConflict, key+" was changed", operator.WithCurrent(old))
	}
	delete(f.edits, key)
	return f.injectedError("delete")
}

func (f *fakeService) Diff(context.Context) (operator.Diff, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.diff(), f.injectedError("diff")
}

func (f *fakeService) diff() operator.Diff {
	d := operator.Diff{InForce: f.version, CandidateDigest: digest(f.edits), Problems: f.problems()}
	for _, r := range sorted(f.edits) {
		old, ok := f.inForce[resourceKey(r)]
		if !ok {
			d.Changes = append(d.Changes, operator.Change{Action: operator.ActionAdded, Kind: r.Kind, Name: r.Name, After: r.Text})
		} else if !operator.SameText(old.Text, r.Text) {
			d.Changes = append(d.Changes, operator.Change{
				Action: operator.ActionChanged, Kind: r.Kind, Name: r.Name, Before: old.Text, After: r.Text,
			})
		}
	}
	for _, r := range sorted(f.inForce) {
		if _, ok := f.edits[resourceKey(r)]; !ok {
			d.Changes = append(d.Changes, operator.Change{Action: operator.ActionRemoved, Kind: r.Kind, Name: r.Name, Before: r.Text})
		}
	}
	return d
}

// problems returns a text for each route to a service that does not exist.
func (f *fakeService) problems() []string {
	var problems []string
	for _, r := range sorted(f.edits) {
		var route struct{ Service string }
		if r.Kind != operator.KindRoute || json.Unmarshal(r.Text, &route) != nil {
			continue
		}
		if _, ok := f.edits["service/"+route.Service]; !ok {
			problems = append(problems, fmt.Sprintf("%s: service %q does not exist", resourceKey(r), route.Service))
		}
	}
	return problems
}

func (f *fakeService) Accept(_ context.Context, _ time.Time, operationID, expectedDigest string) (operator.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectedError("accept"); err != nil {
		return operator.Version{}, err
	}
	if v, ok := f.accepted[operationID]; ok {
		return v, nil
	}
	d := f.diff()
	if len(d.Problems) > 0 {
		return f.version, operator.NewError("accept", operator.ErrorRejected, "the candidate is not valid", operator.WithProblems(d.Problems))
	}
	if expectedDigest != "" && expectedDigest != d.CandidateDigest {
		return f.version, operator.NewError("accept", operator.ErrorConflict, "the candidate has digest "+d.CandidateDigest)
	}
	f.version = operator.Version{Number: f.version.Number + 1, Digest: d.CandidateDigest}
	f.inForce = maps.Clone(f.edits)
	f.accepted[operationID] = f.version
	return f.version, nil
}

func (f *fakeService) Status(context.Context, time.Time) (operator.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statusCallsUntilUpdated--
	for i := range f.reports {
		if f.statusCallsUntilUpdated == 0 {
			f.reports[i].Version = f.version
		}
	}
	return operator.Summarize(testTime, "a1", f.version, f.reports), f.injectedError("status")
}

func sorted(resources map[string]operator.Resource) []operator.Resource {
	return slices.SortedFunc(maps.Values(resources), func(a, b operator.Resource) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

func digest(resources map[string]operator.Resource) string {
	h := sha256.New()
	for _, r := range sorted(resources) {
		_, _ = fmt.Fprintf(h, "%s %s %s\n", r.Kind, r.Name, r.Text)
	}
	return fmt.Sprintf("%x", h.Sum(nil))[:16]
}

func (f *fakeService) Node(context.Context, time.Time) (operator.NodeView, error) {
	return operator.NodeView{Node: "a"}, nil
}
