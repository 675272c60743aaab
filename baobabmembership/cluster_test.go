package baobabmembership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A message is a set of records in flight to a node.
type message struct {
	to      int
	records []Member
}

// A cluster is a set of nodes that exchange records out of order, pause and restart.
type cluster struct {
	now                 time.Time
	tables              []*Table
	paused              []bool
	inFlight            []message
	highestIncarnations []map[string]uint64 // Highest incarnation per table and member.
}

func newCluster(n int) *cluster {
	c := &cluster{now: epoch, paused: make([]bool, n)}
	for i := range n {
		c.tables = append(c.tables, c.newTable(i))
		c.highestIncarnations = append(c.highestIncarnations, map[string]uint64{})
	}
	c.exchange()
	return c
}

func (c *cluster) newTable(i int) *Table {
	id, domain := fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%2)
	return NewTable(testMember(id, domain, InitialIncarnation(c.now)), WithTombstoneTime(time.Minute))
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, label string) int { return rapid.IntRange(0, len(c.tables)-1).Draw(t, label) }
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) {
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			for i, table := range c.tables {
				if !c.paused[i] {
					table.Expire(c.now)
				}
			}
		},
		"send": func(t *rapid.T) {
			from := pick(t, "from")
			if !c.paused[from] {
				c.inFlight = append(c.inFlight, message{pick(t, "to"), c.tables[from].Records(nil)})
			}
		},
		"deliver": func(t *rapid.T) {
			if len(c.inFlight) == 0 {
				t.Skip("no messages in flight")
			}
			// Messages may arrive out of order and more than once.
			m := c.inFlight[rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")]
			if !c.paused[m.to] {
				c.tables[m.to].Merge(c.now, m.records)
			}
		},
		"suspect": func(t *rapid.T) {
			c.tables[pick(t, "by")].Suspect(c.now, fmt.Sprintf("n%d", pick(t, "of")))
		},
		"update": func(t *rapid.T) {
			c.tables[pick(t, "of")].UpdateSelf(c.now, func(s *Member) {
				slots := uint32(rapid.IntRange(1, 9).Draw(t, "slots"))
				s.SetEndpoint(NewEndpoint("s", "u", slots, 1, EndpointReady, c.now))
			})
		},
		"pause":  func(t *rapid.T) { c.paused[pick(t, "node")] = true },
		"resume": func(t *rapid.T) { c.paused[pick(t, "node")] = false },
		"restart": func(t *rapid.T) {
			i := pick(t, "node")
			c.now = c.now.Add(time.Second)
			c.tables[i], c.paused[i] = c.newTable(i), false
			c.highestIncarnations[i] = map[string]uint64{}
		},
		"": c.checkIncarnations,
	}
}

// checkIncarnations fails when an incarnation decreases in a table that has not removed the member.
func (c *cluster) checkIncarnations(t *rapid.T) {
	for i, table := range c.tables {
		for id, e := range table.entries {
			if e.member.incarnation < c.highestIncarnations[i][id] {
				t.Fatalf("incarnation of %s at n%d decreased from %d to %d",
					id, i, c.highestIncarnations[i][id], e.member.incarnation)
			}
			c.highestIncarnations[i][id] = e.member.incarnation
		}
		for id := range c.highestIncarnations[i] {
			if table.entries[id] == nil {
				delete(c.highestIncarnations[i], id)
			}
		}
	}
}

// exchange merges all records of each node into every other, often enough for the tables to converge.
func (c *cluster) exchange() {
	for range 2 * len(c.tables) {
		for _, from := range c.tables {
			for _, to := range c.tables {
				to.Merge(c.now, from.Records(nil))
			}
		}
	}
}

// checkConverged exchanges all records, and fails unless then all nodes are alive in all tables and all digests equal.
func (c *cluster) checkConverged(t *rapid.T) {
	c.exchange()
	for i, table := range c.tables {
		if d := table.Digest().Differing(c.tables[0].Digest()); d != nil {
			t.Fatalf("digest of n%d differs in %v after the exchanges", i, d)
		}
		for j := range c.tables {
			if r, ok := table.Member(fmt.Sprintf("n%d", j)); !ok || r.state != StateAlive {
				t.Fatalf("n%d at n%d is %q after the exchanges, want alive", j, i, r.state)
			}
		}
	}
}

// TestClusterConvergence guards against tables that do not converge, reachable members that stay dead, and incarnations
// that decrease, under late, repeated and reordered records, pauses and restarts.
func TestClusterConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 6).Draw(t, "nodes"))
		t.Repeat(c.actions())
		c.checkConverged(t)
	})
}
