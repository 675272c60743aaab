package baobabemulator

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// A PlatformTable holds rows and objects in memory. It is safe for concurrent use.
type PlatformTable struct {
	mu        sync.Mutex
	revision  uint64
	rows      map[string]platform.Row
	objects   map[string][]byte
	staleRows map[string]platform.Row // If not nil, reads of rows return this older state.
	era       uint64                  // Rises with each restore; 1 at first.
	copied    *platformCopy           // Nil before the first copy.
}

// A platformCopy is the state of a table at one time.
type platformCopy struct {
	revision uint64
	rows     map[string]platform.Row
	objects  map[string][]byte
}

// makeCopy copies the rows and objects, for a later restore.
func (t *PlatformTable) makeCopy() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copied = &platformCopy{revision: t.revision, rows: maps.Clone(t.rows), objects: maps.Clone(t.objects)}
}

// restore returns to the last copy: what was written since is lost, and its revisions are given out again. It reports
// whether there is a copy.
func (t *PlatformTable) restore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.copied == nil {
		return false
	}
	t.revision, t.rows, t.objects = t.copied.revision, maps.Clone(t.copied.rows), maps.Clone(t.copied.objects)
	t.era++
	return true
}

func (t *PlatformTable) currentEra() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// NewPlatformTable returns an empty table.
func NewPlatformTable() *PlatformTable {
	return &PlatformTable{rows: map[string]platform.Row{}, objects: map[string][]byte{}, era: 1}
}

// SetStaleReads enables or disables stale reads. While they are enabled, reads of rows return the state at the time they
// were enabled. Commits always see the current state.
func (t *PlatformTable) SetStaleReads(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !on {
		t.staleRows = nil
		return
	}
	if t.staleRows == nil {
		t.staleRows = maps.Clone(t.rows)
	}
}

func (t *PlatformTable) readableRows() map[string]platform.Row {
	if t.staleRows != nil {
		return t.staleRows
	}
	return t.rows
}

func (t *PlatformTable) get(key string) (platform.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.readableRows()[key]
	return r, ok
}

func (t *PlatformTable) scan(prefix string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []platform.Row{}
	for k, r := range t.readableRows() {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return rows
}

func (t *PlatformTable) commit(tx platform.Transaction) (uint64, error) {
	const operation = "commit"
	if err := tx.Validate(); err != nil {
		return 0, platform.NewError(operation, platform.KindInvalid, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conflict := false
	var current []platform.Row
	for _, c := range tx.Conditions() {
		r, ok := t.rows[c.Key()]
		if ok {
			current = append(current, r)
		}
		if r.Revision() != c.Revision() {
			conflict = true
		}
	}
	if conflict {
		return 0, platform.NewConflict(operation, current)
	}
	if len(tx.Writes()) == 0 {
		return t.revision, nil
	}
	t.revision++
	for _, w := range tx.Writes() {
		if w.Deleted() {
			delete(t.rows, w.Key())
			continue
		}
		t.rows[w.Key()] = platform.NewRow(w.Key(), w.Value(), t.revision)
	}
	return t.revision, nil
}

func (t *PlatformTable) putObject(name string, data []byte) error {
	const operation = "put object"
	if err := platform.CheckObjectName(name); err != nil {
		return platform.NewError(operation, platform.KindInvalid, err)
	}
	if len(data) == 0 || len(data) > platform.MaxObjectBytes {
		return platform.NewError(operation, platform.KindInvalid, errors.Errorf("object has %d bytes", len(data)))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.objects[name]
	if ok && !bytes.Equal(old, data) {
		return platform.NewConflict(operation, nil)
	}
	if !ok {
		t.objects[name] = slices.Clone(data)
	}
	return nil
}

func (t *PlatformTable) getObject(name string) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.objects[name]
	if !ok {
		return nil, platform.NewError("get object", platform.KindNotFound, nil)
	}
	return slices.Clone(b), nil
}
