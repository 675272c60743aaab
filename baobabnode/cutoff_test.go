package baobabnode

import (
	"testing"
	"time"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
)

// TestCutOff guards against a node that takes itself for a part of the majority because what it knows of other failure
// domains comes from members that it does not reach any more, and against one that counts itself as cut off because the
// other members of its domain have died.
func TestCutOff(t *testing.T) {
	for _, c := range []struct {
		name        string
		mate, other string // Members of its own failure domain and of another one: "answers", "silent" or empty for none.
		want        bool
	}{
		{"all answer", "answers", "answers", false},
		{"only its own domain answers", "answers", "silent", false},
		{"only another domain answers", "silent", "answers", false},
		{"nobody answers", "silent", "silent", true},
		{"nobody of another domain answers, none in its own", "", "silent", true},
		{"nobody answers, one domain", "silent", "", true},
		{"alone", "", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := newTestMembershipController(t, "n1", 1)
			node.probeTimeout = 2 * time.Second
			for domain, state := range map[string]string{"a": c.mate, "b": c.other} {
				if state == "" {
					continue
				}
				id, address := "n-"+domain, "127.0.0.1:1" // Nobody listens on this port.
				if state == "answers" {
					address = newTestMembershipController(t, id, 1).members.selfRecord().PeerAddress()
				}
				node.members.withTable(func(table *membership.Table) []membership.Change {
					return table.Merge(time.Now(), []membership.Member{membership.NewMember(id, address, "127.0.0.1:1", domain, "r", 1)})
				})
			}
			node.probeAll(t.Context())
			if got := node.cutOff.Load(); got != c.want {
				t.Errorf("cut off = %t, want %t", got, c.want)
			}
		})
	}
}
