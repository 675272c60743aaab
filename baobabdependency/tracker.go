package baobabdependency

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxKinds bounds the kinds of roots that are remembered; further ones are always admitted.
const maxKinds = 64

// A Tracker records the nested calls of the upstream on one VM by the kind of their root, and decides which roots start.
// Its state is local and decays within seconds. It reads no clock and is safe for concurrent use.
type Tracker struct {
	onChange func(now time.Time, k KindState) // Called with the lock held.

	mu    sync.Mutex
	kinds map[string]*kind
}

// NewTracker returns a tracker that admits all roots until nested calls are refused for lack of room. It calls onChange,
// which must not call the tracker, when it starts to refuse roots of a kind and when it admits all of them again.
func NewTracker(onChange func(now time.Time, k KindState)) *Tracker {
	return &Tracker{onChange: onChange, kinds: map[string]*kind{}}
}

// RecordNested records a nested call of a kind of root to a service, whether it was the first one of its root, and how long
// it took.
func (t *Tracker) RecordNested(now time.Time, kindName, service string, first bool, e Ending, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.kinds[kindName]
	if !ok {
		if len(t.kinds) >= maxKinds {
			return
		}
		k = newKind(kindName)
		t.kinds[kindName] = k
	}
	defer t.reportChange(now, k, k.shortSince)
	k.record(now, service, first, e, took)
}

// RootAdmission reports whether the root with the given call id starts, and otherwise after which time its caller should
// return. The id decides which roots start, so that nodes with equal shares agree about a call that is offered to several
// of them.
func (t *Tracker) RootAdmission(now time.Time, kindName, id string) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.kinds[kindName]
	if !ok {
		return true, 0
	}
	defer t.reportChange(now, k, k.shortSince)
	return k.admit(now, float64(xxhash.Sum64String(id))/math.MaxUint64)
}

// reportChange calls onChange if the kind began or ceased to be short since the given state.
func (t *Tracker) reportChange(now time.Time, k *kind, shortSince time.Time) {
	if k.shortSince.IsZero() != shortSince.IsZero() {
		t.onChange(now, newKindState(k))
	}
}

// RecordStart counts a root that starts.
func (t *Tracker) RecordStart(now time.Time, kindName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.kinds[kindName]; ok {
		k.start(now)
	}
}

// Kinds returns what is known about each kind whose roots make nested calls, sorted by name.
func (t *Tracker) Kinds() []KindState {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]KindState, 0, len(t.kinds))
	for _, k := range t.kinds {
		all = append(all, newKindState(k))
	}
	slices.SortFunc(all, func(a, b KindState) int { return strings.Compare(a.name, b.name) })
	return all
}

// Kind returns what is known about one kind; false if its roots make no nested calls.
func (t *Tracker) Kind(name string) (KindState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.kinds[name]
	if !ok {
		return KindState{}, false
	}
	return newKindState(k), true
}
