package baobabrelease

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	emulator "github.com/baobabdale/baobabdale/baobabemulator"
)

// stateMachine runs the operations of two operators on one store and compares the store with a model.
type stateMachine struct {
	memoryStore    *emulator.PlatformMemoryStore
	stores         [2]*hookedStore
	repositories   [2]*Repository
	unhooked       *Repository // On the store without hooks.
	edits          map[string]Edit
	versionDigests []configuration.Digest // Of versions 1, 2 and so on.
	versionNumbers map[string]uint64      // Number of the version that each accept created, by operation id.
	unresolved     map[string]bool        // Operation ids whose outcome the operator does not know.
	operationCount int
}

func newStateMachine() *stateMachine {
	memory, stores, repositories := newRepositories()
	return &stateMachine{
		memoryStore:    memory,
		stores:         stores,
		repositories:   repositories,
		unhooked:       NewRepository(memory, WithRetryDelays(0, 0, 0)),
		edits:          map[string]Edit{},
		versionNumbers: map[string]uint64{},
		unresolved:     map[string]bool{},
	}
}

// expectedDocument returns the candidate according to the model.
func (m *stateMachine) expectedDocument(t *rapid.T) *configuration.Document {
	var resources []configuration.Resource
	for _, e := range m.edits {
		resource, err := configuration.ParseResource(e.Kind(), e.Name(), e.Text())
		if err != nil {
			t.Fatal(err)
		}
		resources = append(resources, resource)
	}
	d, err := configuration.NewDocument(resources)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (m *stateMachine) edit(t *rapid.T) {
	r := m.repositories[rapid.IntRange(0, 1).Draw(t, "operator")]
	m.changeEdit(t, r)
}

// changeEdit sets or deletes an edit. A lost response is always resolved, because at most one is lost at a time.
func (m *stateMachine) changeEdit(t *rapid.T, r *Repository) {
	ctx := context.Background()
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	current := m.edits[name]
	expected := current.Revision() + Revision(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	remove := rapid.Bool().Draw(t, "remove")
	if remove && expected == 0 {
		return
	}
	text := ""
	if !remove {
		text = fmt.Sprintf(`{"labels":{"x":"%d"}}`, rapid.IntRange(0, 2).Draw(t, "value"))
	}
	lost := m.memoryStore.Faults().LoseWrites > 0
	var e Edit
	var err error
	if remove {
		err = r.DeleteEdit(ctx, "service", name, expected)
	} else {
		e, err = r.SetEdit(ctx, "service", name, []byte(text), expected)
	}
	switch {
	case expected != current.Revision() && lost && string(current.Text()) == text:
		// The response that reported the conflict was lost, and the stored edit already has the wanted text.
		if err != nil || e.Revision() != current.Revision() {
			t.Fatalf("change of %s to its current text = %+v, %v, want the current edit", name, e, err)
		}
	case expected != current.Revision():
		if KindOf(err) != KindConflict {
			t.Fatalf("change of %s at %d expecting %d = %v, want a conflict", name, current.Revision(), expected, err)
		}
	case err != nil:
		t.Fatalf("change of %s = %v", name, err)
	case remove:
		delete(m.edits, name)
	default:
		m.edits[name] = e
	}
}

func (m *stateMachine) loseResponse(t *rapid.T) {
	mustSetFaults(t, m.memoryStore, emulator.PlatformFaults{LoseWrites: 1})
}

func (m *stateMachine) accept(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "operator")
	commitOutcome := rapid.SampledFrom([]string{"responded", "responded", "response lost", "held back"}).Draw(t, "outcome")
	m.stores[i].loseHeadResponse, m.stores[i].holdHeadCommit = commitOutcome == "response lost", commitOutcome == "held back"
	switch rapid.SampledFrom([]string{"alone", "alone", "race with edit", "race with accept"}).Draw(t, "race") {
	case "race with edit":
		m.stores[i].beforeHeadCommit = func() { m.changeEdit(t, m.unhooked) }
	case "race with accept":
		m.stores[i].beforeHeadCommit = func() { m.acceptThrough(t, m.unhooked, m.newOperationID()) }
	}
	operationID := m.newOperationID()
	if m.operationCount > 1 && rapid.Bool().Draw(t, "repeat") {
		operationID = fmt.Sprintf("op-%d", rapid.IntRange(1, m.operationCount).Draw(t, "earlier"))
	}
	held, wasUnresolved := len(m.stores[i].held), m.unresolved[operationID]
	m.acceptThrough(t, m.repositories[i], operationID)
	if m.unresolved[operationID] && !wasUnresolved && len(m.stores[i].held) == held {
		t.Fatalf("the outcome of %s is unknown although its transaction was not held back", operationID)
	}
	m.stores[i].beforeHeadCommit, m.stores[i].loseHeadResponse, m.stores[i].holdHeadCommit = nil, false, false
}

func (m *stateMachine) newOperationID() string {
	m.operationCount++
	return fmt.Sprintf("op-%d", m.operationCount)
}

func (m *stateMachine) acceptThrough(t *rapid.T, r *Repository, operationID string) {
	s, err := r.Accept(context.Background(), acceptTime, operationID, anyDigest)
	m.observeHead(t)
	switch {
	case err == nil:
		if got, ok := m.versionNumbers[operationID]; !ok || got != s.Version().Number() {
			t.Fatalf("Accept(%s) = %s, recorded is %d, %v", operationID, s.Version(), got, ok)
		}
		if s.Version().Digest() != m.versionDigests[s.Version().Number()-1] {
			t.Fatalf("Accept(%s) = %s, want digest %s", operationID, s.Version(), m.versionDigests[s.Version().Number()-1])
		}
		delete(m.unresolved, operationID)
	case KindOf(err) == KindUnknownOutcome:
		m.unresolved[operationID] = true
	case KindOf(err) != KindConflict:
		t.Fatalf("Accept(%s) = %v, want success, a conflict or an unknown outcome", operationID, err)
	}
}

// commitHeld commits the transactions that were held back.
func (m *stateMachine) commitHeld(t *rapid.T) {
	for _, s := range m.stores {
		s.commitHeld(context.Background())
		m.observeHead(t)
	}
}

// observeHead reads the head and records a new version. The head may have advanced by at most one version since the
// last observation, and the new version must have the content of the current edits.
func (m *stateMachine) observeHead(t *rapid.T) {
	ctx := context.Background()
	h, err := m.unhooked.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	known := uint64(len(m.versionDigests))
	if n := h.Version().Number(); n != known && n != known+1 {
		t.Fatalf("head moved from %d to %d", known, n)
	}
	if h.Version().Number() == known {
		return
	}
	if want := m.expectedDocument(t).Digest(); h.Version().Digest() != want {
		t.Fatalf("version %s, want digest %s of the current edits", h.Version(), want)
	}
	if n, ok := m.versionNumbers[h.OperationID()]; ok {
		t.Fatalf("operation %s led to versions %d and %d", h.OperationID(), n, h.Version().Number())
	}
	m.versionDigests = append(m.versionDigests, h.Version().Digest())
	m.versionNumbers[h.OperationID()] = h.Version().Number()
}

// checkStore compares the head and the edits in the store with the model.
func (m *stateMachine) checkStore(t *rapid.T) {
	ctx := context.Background()
	mustSetFaults(t, m.memoryStore, emulator.PlatformFaults{})
	m.observeHead(t)
	h, err := m.unhooked.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := m.unhooked.Load(ctx, h); err != nil || s.Version() != h.Version() {
		t.Fatalf("Load(%s) = %v, %v", h.Version(), s, err)
	}
	d, err := m.unhooked.Candidate(ctx)
	if err != nil || d.Digest() != m.expectedDocument(t).Digest() {
		t.Fatalf("Candidate() = %v, %v, want the model's edits", d, err)
	}
}

// TestStateMachine guards against sequences of edits, accepts, lost responses, delayed transactions and concurrent
// operations in which an edit is lost, a version number gets two contents, or an accept takes effect twice.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"accept":        m.accept,
			"edit":          m.edit,
			"lose response": m.loseResponse,
			"release":       m.commitHeld,
			"":              func(*rapid.T) {},
		})
		m.commitHeld(t)
		m.checkStore(t)
		for operationID := range m.unresolved {
			// Repeating an accept resolves its unknown outcome.
			m.acceptThrough(t, m.unhooked, operationID)
			if _, ok := m.versionNumbers[operationID]; !ok {
				t.Fatalf("operation %s has no result after it was repeated", operationID)
			}
		}
		m.checkStore(t)
	})
}
