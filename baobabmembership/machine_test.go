package baobabmembership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A post is a set of records on its way to a node.
type post struct {
	to      int
	records []Member
}

// machine is a set of nodes that exchange records out of order, pause and restart.
type machine struct {
	now    time.Time
	tables []*Table
	paused []bool
	posts  []post
	seen   []map[string]uint64 // Highest incarnation per table and member.
}

func newMachine(n int) *machine {
	m := &machine{now: epoch, paused: make([]bool, n)}
	for i := range n {
		m.tables = append(m.tables, m.start(i))
		m.seen = append(m.seen, map[string]uint64{})
	}
	m.exchange()
	return m
}

func (m *machine) start(i int) *Table {
	id, domain := fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%2)
	return NewTable(node(id, domain, StartIncarnation(m.now)), WithTombstoneTime(time.Minute))
}

func (m *machine) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, label string) int { return rapid.IntRange(0, len(m.tables)-1).Draw(t, label) }
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			for i, table := range m.tables {
				if !m.paused[i] {
					table.Expire(m.now)
				}
			}
		},
		"send": func(t *rapid.T) {
			from := pick(t, "from")
			if !m.paused[from] {
				m.posts = append(m.posts, post{pick(t, "to"), m.tables[from].Records(nil)})
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.posts) == 0 {
				t.Skip("no posts")
			}
			// Posts may arrive out of order and more than once.
			p := m.posts[rapid.IntRange(0, len(m.posts)-1).Draw(t, "post")]
			if !m.paused[p.to] {
				m.tables[p.to].Merge(m.now, p.records)
			}
		},
		"suspect": func(t *rapid.T) {
			m.tables[pick(t, "by")].Suspect(m.now, fmt.Sprintf("n%d", pick(t, "of")))
		},
		"update": func(t *rapid.T) {
			m.tables[pick(t, "of")].SetSelf(m.now, func(s *Member) {
				slots := uint32(rapid.IntRange(1, 9).Draw(t, "slots"))
				s.SetEndpoint(NewEndpoint("s", "u", slots, 1, EndpointReady, m.now))
			})
		},
		"pause":  func(t *rapid.T) { m.paused[pick(t, "node")] = true },
		"resume": func(t *rapid.T) { m.paused[pick(t, "node")] = false },
		"restart": func(t *rapid.T) {
			i := pick(t, "node")
			m.now = m.now.Add(time.Second)
			m.tables[i], m.paused[i] = m.start(i), false
			m.seen[i] = map[string]uint64{}
		},
		"": m.check,
	}
}

// check fails when an incarnation goes back in a table that has not forgotten the member.
func (m *machine) check(t *rapid.T) {
	for i, table := range m.tables {
		for id, e := range table.entries {
			if e.member.incarnation < m.seen[i][id] {
				t.Fatalf("incarnation of %s at n%d went back from %d to %d", id, i, m.seen[i][id], e.member.incarnation)
			}
			m.seen[i][id] = e.member.incarnation
		}
		for id := range m.seen[i] {
			if table.entries[id] == nil {
				delete(m.seen[i], id)
			}
		}
	}
}

// exchange passes all records between all nodes until they settle.
func (m *machine) exchange() {
	for range 2 * len(m.tables) {
		for _, from := range m.tables {
			for _, to := range m.tables {
				to.Merge(m.now, from.Records(nil))
			}
		}
	}
}

// settle fails unless all nodes are alive in all tables and all digests are equal after exchanges.
func (m *machine) settle(t *rapid.T) {
	m.exchange()
	for i, table := range m.tables {
		if d := table.Digest().Differing(m.tables[0].Digest()); d != nil {
			t.Fatalf("digest of n%d differs in %v after the exchanges", i, d)
		}
		for j := range m.tables {
			if r, ok := table.Member(fmt.Sprintf("n%d", j)); !ok || r.state != StateAlive {
				t.Fatalf("n%d at n%d is %q after the exchanges, want alive", j, i, r.state)
			}
		}
	}
}

// TestMachine guards against tables that do not converge, reachable members that stay dead, and incarnations that go
// back, under late, repeated and crossing records, pauses and restarts.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(2, 6).Draw(t, "nodes"))
		t.Repeat(m.actions())
		m.settle(t)
	})
}
