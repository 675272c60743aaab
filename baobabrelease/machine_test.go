package baobabrelease

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	emulator "github.com/baobabdale/baobabdale/baobabemulator"
)

// machine drives two operators on one store and compares the store with a model.
type machine struct {
	memory     *emulator.PlatformMemoryStore
	stores     [2]*hookedStore
	books      [2]*Book
	reader     *Book // Free of hooks.
	edits      map[string]Edit
	digests    []configuration.Digest // Of versions 1, 2 and so on.
	results    map[string]uint64      // Version that each operation led to.
	open       map[string]bool        // Operations whose outcome the operator does not know.
	operations int
}

func newMachine() *machine {
	memory, stores, books := newBooks()
	return &machine{
		memory:  memory,
		stores:  stores,
		books:   books,
		reader:  NewBook(memory, WithPauses(0, 0, 0)),
		edits:   map[string]Edit{},
		results: map[string]uint64{},
		open:    map[string]bool{},
	}
}

// document returns the candidate according to the model.
func (m *machine) document(t *rapid.T) *configuration.Document {
	var resources []configuration.Resource
	for _, e := range m.edits {
		r, err := configuration.ParseResource(e.Kind(), e.Name(), e.Text())
		if err != nil {
			t.Fatal(err)
		}
		resources = append(resources, r)
	}
	d, err := configuration.NewDocument(resources)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (m *machine) edit(t *rapid.T) {
	b := m.books[rapid.IntRange(0, 1).Draw(t, "operator")]
	m.change(t, b)
}

// change sets or deletes an edit. A lost answer is always resolved, because at most one is lost at a time.
func (m *machine) change(t *rapid.T, b *Book) {
	ctx := context.Background()
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	current := m.edits[name]
	expect := current.Revision() + Revision(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	remove := rapid.Bool().Draw(t, "remove")
	if remove && expect == 0 {
		return
	}
	text := ""
	if !remove {
		text = fmt.Sprintf(`{"labels":{"x":"%d"}}`, rapid.IntRange(0, 2).Draw(t, "value"))
	}
	lost := m.memory.Faults().LoseWrites > 0
	var e Edit
	var err error
	if remove {
		err = b.Delete(ctx, "service", name, expect)
	} else {
		e, err = b.Set(ctx, "service", name, []byte(text), expect)
	}
	switch {
	case expect != current.Revision() && lost && string(current.Text()) == text:
		// The answer that said "conflict" was lost, and what is stored is what the operator asked for.
		if err != nil || e.Revision() != current.Revision() {
			t.Fatalf("change of %s to what it was = %+v, %v, want the current edit", name, e, err)
		}
	case expect != current.Revision():
		if KindOf(err) != KindConflict {
			t.Fatalf("change of %s at %d expecting %d = %v, want a conflict", name, current.Revision(), expect, err)
		}
	case err != nil:
		t.Fatalf("change of %s = %v", name, err)
	case remove:
		delete(m.edits, name)
	default:
		m.edits[name] = e
	}
}

func (m *machine) loseAnswer(t *rapid.T) {
	mustFaults(t, m.memory, emulator.PlatformFaults{LoseWrites: 1})
}

func (m *machine) accept(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "operator")
	fate := rapid.SampledFrom([]string{"answered", "answered", "answer lost", "held back"}).Draw(t, "fate")
	m.stores[i].loseMove, m.stores[i].holdMove = fate == "answer lost", fate == "held back"
	switch rapid.SampledFrom([]string{"alone", "alone", "race with edit", "race with accept"}).Draw(t, "race") {
	case "race with edit":
		m.stores[i].beforeMove = func() { m.change(t, m.reader) }
	case "race with accept":
		m.stores[i].beforeMove = func() { m.acceptOn(t, m.reader, m.newOperation()) }
	}
	operation := m.newOperation()
	if m.operations > 1 && rapid.Bool().Draw(t, "repeat") {
		operation = fmt.Sprintf("op-%d", rapid.IntRange(1, m.operations).Draw(t, "earlier"))
	}
	held, open := len(m.stores[i].held), m.open[operation]
	m.acceptOn(t, m.books[i], operation)
	if m.open[operation] && !open && len(m.stores[i].held) == held {
		t.Fatalf("the outcome of %s is unknown although its transaction was not held back", operation)
	}
	m.stores[i].beforeMove, m.stores[i].loseMove, m.stores[i].holdMove = nil, false, false
}

func (m *machine) newOperation() string {
	m.operations++
	return fmt.Sprintf("op-%d", m.operations)
}

func (m *machine) acceptOn(t *rapid.T, b *Book, operation string) {
	s, err := b.Accept(context.Background(), acceptTime, operation, anyDigest)
	m.observe(t)
	switch {
	case err == nil:
		if got, ok := m.results[operation]; !ok || got != s.Version().Number() {
			t.Fatalf("Accept(%s) = %s, recorded is %d, %v", operation, s.Version(), got, ok)
		}
		if s.Version().Digest() != m.digests[s.Version().Number()-1] {
			t.Fatalf("Accept(%s) = %s, want digest %s", operation, s.Version(), m.digests[s.Version().Number()-1])
		}
		delete(m.open, operation)
	case KindOf(err) == KindUnknownOutcome:
		m.open[operation] = true
	case KindOf(err) != KindConflict:
		t.Fatalf("Accept(%s) = %v, want success, a conflict or an unknown outcome", operation, err)
	}
}

// release lets the transactions arrive that were held back.
func (m *machine) release(t *rapid.T) {
	for _, s := range m.stores {
		s.release(context.Background())
		m.observe(t)
	}
}

// observe reads the head and records a new version. The head may only have moved by one since the last
// observation, and the new version must have the content of the edits as they are now.
func (m *machine) observe(t *rapid.T) {
	ctx := context.Background()
	h, err := m.reader.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	known := uint64(len(m.digests))
	if n := h.Version().Number(); n != known && n != known+1 {
		t.Fatalf("head moved from %d to %d", known, n)
	}
	if h.Version().Number() == known {
		return
	}
	if want := m.document(t).Digest(); h.Version().Digest() != want {
		t.Fatalf("version %s, want the edits with digest %s", h.Version(), want)
	}
	if n, ok := m.results[h.Operation()]; ok {
		t.Fatalf("operation %s led to versions %d and %d", h.Operation(), n, h.Version().Number())
	}
	m.digests = append(m.digests, h.Version().Digest())
	m.results[h.Operation()] = h.Version().Number()
}

// check compares the head and the edits in the store with the model.
func (m *machine) check(t *rapid.T) {
	ctx := context.Background()
	mustFaults(t, m.memory, emulator.PlatformFaults{})
	m.observe(t)
	h, err := m.reader.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := m.reader.Load(ctx, h); err != nil || s.Version() != h.Version() {
		t.Fatalf("Load(%s) = %v, %v", h.Version(), s, err)
	}
	d, err := m.reader.Candidate(ctx)
	if err != nil || d.Digest() != m.document(t).Digest() {
		t.Fatalf("Candidate() = %v, %v, want the edits of the model", d, err)
	}
}

// TestMachine guards against sequences of edits, accepts, lost answers, late transactions and races in which an
// edit is lost, a version number gets two contents, or an operation takes effect twice.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"accept":      m.accept,
			"edit":        m.edit,
			"lose answer": m.loseAnswer,
			"release":     m.release,
			"":            func(*rapid.T) {},
		})
		m.release(t)
		m.check(t)
		for operation := range m.open {
			// Every operation of unknown outcome can be settled by repeating it.
			m.acceptOn(t, m.reader, operation)
			if _, ok := m.results[operation]; !ok {
				t.Fatalf("operation %s has no result after it was repeated", operation)
			}
		}
		m.check(t)
	})
}
