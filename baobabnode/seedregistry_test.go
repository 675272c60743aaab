package baobabnode

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// A memoryStore is a table in memory without limits. Its operations fail with err if that is set.
type memoryStore struct {
	platform.Store
	mu      sync.Mutex
	rows    map[string]platform.Row
	err     error
	commits int
	lose    int // Commits from now on that are applied and have no response.
	refuse  int // Commits from now on that are not applied.
}

func (s *memoryStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	return r, ok, s.err
}

func (s *memoryStore) Scan(_ context.Context, prefix string) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for key, r := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(a.Revision()) - int(b.Revision()) })
	return rows, s.err
}

func (s *memoryStore) Commit(_ context.Context, tx platform.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	if s.refuse > 0 {
		s.refuse--
		return 0, platform.NewError("commit", platform.KindThrottled, nil)
	}
	var current []platform.Row
	conflict := false
	for _, c := range tx.Conditions() {
		r, ok := s.rows[c.Key()]
		if ok {
			current = append(current, r)
		}
		conflict = conflict || r.Revision() != c.Revision()
	}
	if conflict {
		return 0, platform.NewConflict("commit", current)
	}
	s.commits++
	for _, w := range tx.Writes() {
		if w.Deleted() {
			delete(s.rows, w.Key())
			continue
		}
		s.rows[w.Key()] = platform.NewRow(w.Key(), w.Value(), uint64(s.commits)+100)
	}
	if s.lose > 0 {
		s.lose--
		return 0, platform.NewError("commit", platform.KindUnknownOutcome, nil)
	}
	return uint64(s.commits) + 100, nil
}

// newTestSeedRegistry returns the seed registry of node n0 in failure domain a, which has count nodes.
func newTestSeedRegistry(store platform.Store, count int) *seedRegistry {
	now := time.Unix(1, 0)
	member := func(i int) membership.Member {
		return membership.NewMember(fmt.Sprintf("n%d", i), fmt.Sprintf("127.0.0.%d:1", i+1), "127.0.0.9:9", "a", "r", 1)
	}
	m := newMemberTable(blackboard.NewBoard(), membership.NewTable(member(0)))
	for i := 1; i < count; i++ {
		m.withTable(func(t *membership.Table) []membership.Change { return t.Merge(now, []membership.Member{member(i)}) })
	}
	return &seedRegistry{store: store, members: m, static: []string{"127.0.0.99:1"}, logger: log.New(io.Discard)}
}

// TestSeedRegistryRefresh guards against seed rows that do not name a live node, and against writes that change
// nothing, because the platform cannot handle them from every node.
func TestSeedRegistryRefresh(t *testing.T) {
	const key, selfAddress = "seed/a/0", "127.0.0.1:1"
	for _, c := range []struct {
		name, row string // Address in the first row before; empty if there is no row.
		err       error
		changed   bool
		commits   int
	}{
		{"absent", "", nil, true, 1},
		{"of a node that no longer exists", "127.0.0.77:1", nil, true, 1},
		{"own", selfAddress, nil, false, 0},
		{"platform unavailable", "", platform.NewError("scan", platform.KindUnavailable, nil), false, 0},
	} {
		store := &memoryStore{rows: map[string]platform.Row{}, err: c.err}
		if c.row != "" {
			store.rows[key] = platform.NewRow(key, []byte(c.row), 5)
		}
		s := newTestSeedRegistry(store, 1)
		if got := s.refresh(t.Context()); got != c.changed || store.commits != c.commits {
			t.Errorf("%s: changed %t, %d commits; want %t, %d", c.name, got, store.commits, c.changed, c.commits)
		}
		if c.err == nil && string(store.rows[key].Value()) != selfAddress {
			t.Errorf("%s: row %q, want %q", c.name, store.rows[key].Value(), selfAddress)
		}
	}
}

// TestSeedRegistrySlots guards against more writers than rows: each member has at most one slot, and no two members
// share a slot.
func TestSeedRegistrySlots(t *testing.T) {
	const count = 3 * seedSlots
	s := newTestSeedRegistry(&memoryStore{}, count)
	slots := map[int]bool{}
	for i := range count {
		s.members.self = fmt.Sprintf("n%d", i)
		slot := s.ownSlot()
		if slot < 0 {
			continue
		}
		if slots[slot] || slot >= seedSlots {
			t.Errorf("n%d has slot %d, which is taken or does not exist", i, slot)
		}
		slots[slot] = true
	}
	if len(slots) != seedSlots {
		t.Errorf("%d slots are written, want %d", len(slots), seedSlots)
	}
}

// TestSeedRegistryAddresses guards against a node that cannot start without the platform, or that joins through itself.
func TestSeedRegistryAddresses(t *testing.T) {
	store := &memoryStore{rows: map[string]platform.Row{}}
	for i, address := range []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.77:1"} {
		key := fmt.Sprintf("seed/a/%d", i)
		store.rows[key] = platform.NewRow(key, []byte(address), uint64(i)+1)
	}
	s := newTestSeedRegistry(store, 2)
	want := "[127.0.0.99:1 127.0.0.2:1 127.0.0.77:1]"
	if got := fmt.Sprint(s.addresses(t.Context())); got != want {
		t.Errorf("addresses %s, want %s", got, want)
	}
	store.err = platform.NewError("scan", platform.KindUnavailable, nil)
	if got := fmt.Sprint(s.addresses(t.Context())); got != want {
		t.Errorf("addresses without the platform %s, want those known before, %s", got, want)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		if a, ok := s.nonMember(random); !ok || a == "127.0.0.1:1" || a == "127.0.0.2:1" {
			t.Fatalf("seed %q, want one that is not a live member", a)
		}
	}
}

// TestSeedRegistryWriteFirstRow guards against nodes of a new mesh that find one another only after the first regular
// refresh, and against a starting node that replaces the row of a live node.
func TestSeedRegistryWriteFirstRow(t *testing.T) {
	const key = "seed/a/0"
	for _, c := range []struct {
		name, row string // Address in the row before; empty if there is no row.
		read      bool
		count     int // Number of members that the node knows.
		commits   int
	}{
		{"new mesh", "", true, 1, 1},
		{"row of another node", "127.0.0.77:1", true, 1, 0},
		{"rows not read", "", false, 1, 0},
		{"joined", "", true, 2, 0},
	} {
		store := &memoryStore{rows: map[string]platform.Row{}}
		if c.row != "" {
			store.rows[key] = platform.NewRow(key, []byte(c.row), 1)
		}
		s := newTestSeedRegistry(store, c.count)
		if c.read {
			s.addresses(t.Context())
		}
		s.writeFirstRow(t.Context())
		if store.commits != c.commits {
			t.Errorf("%s: %d rows written, want %d", c.name, store.commits, c.commits)
		}
	}
}

// A restorableStore is a memoryStore that tells its era.
type restorableStore struct {
	memoryStore
	mu  sync.Mutex
	era uint64
}

func (s *restorableStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// TestSeedsLostInRestore guards against seed rows that stay lost for half a minute after a restore.
func TestSeedsLostInRestore(t *testing.T) {
	store := &restorableStore{era: 1}
	store.rows = map[string]platform.Row{}
	s := newTestSeedRegistry(store, 2)
	for _, c := range []struct {
		name     string
		restored bool
		want     bool // The wait ends before its time.
	}{{"not restored", false, false}, {"restored", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			if c.restored {
				go func() {
					time.Sleep(100 * time.Millisecond)
					store.mu.Lock()
					defer store.mu.Unlock()
					store.era++
				}()
			}
			if got := s.waitForRefresh(ctx, time.Minute); got != c.want {
				t.Errorf("the wait ended early: %t, want %t", got, c.want)
			}
		})
	}
}
