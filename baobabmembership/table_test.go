package baobabmembership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var epoch = time.Unix(1_800_000_000, 0)

func testMember(id, domain string, incarnation uint64) Member {
	return NewMember(id, id+":1", id+":2", domain, "r", incarnation)
}

// TestTable runs the scripts in testdata/table. They guard against a wrong precedence of records, members declared dead
// without cause, and removed records that return.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		var table *Table
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text := func(key string) string {
				var s string
				d.MaybeScanArgs(t, key, &s)
				return s
			}
			number := func(key string) int {
				var n int
				d.MaybeScanArgs(t, key, &n)
				return n
			}
			var changes []Change
			switch d.Cmd {
			case "new":
				table = NewTable(testMember(text("id"), "d", uint64(number("incarnation"))))
				return ""
			case "merge":
				m := testMember(text("id"), "d", uint64(number("incarnation")))
				m.state = State(text("state"))
				m.entryAddress += text("entry")
				changes = table.Merge(now, []Member{m})
			case "suspect":
				changes = table.Suspect(now, text("id"))
			case "probed":
				table.RecordProbeRound(number("sent"), number("unanswered"))
				return table.SuspicionTimeout().String()
			case "tick":
				// Ticks at the default interval, or with "pause" only once at the end.
				remaining := time.Duration(number("ms")) * time.Millisecond
				for remaining > 0 {
					step := min(remaining, defaultTickInterval)
					if d.HasArg("pause") {
						step = remaining
					}
					remaining -= step
					now = now.Add(step)
					changes = append(changes, table.Expire(now)...)
				}
			case "records":
				var out string
				for _, m := range table.Records(nil) {
					out += fmt.Sprintf("%s %d %s\n", m.id, m.incarnation, m.state)
				}
				return out
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			var out string
			for _, c := range changes {
				out += fmt.Sprintf("%s %s %d\n", c.Kind(), c.Member().ID(), c.Member().Incarnation())
			}
			return out
		})
	})
}

func ids(list []Member) []string {
	var out []string
	for _, m := range list {
		out = append(out, m.id)
	}
	return out
}

// fleetTable returns a table of n members in the given number of failure domains; this node is the first.
func fleetTable(n, domains int) *Table {
	t := NewTable(fleetMember(0, domains))
	t.Merge(epoch, fleetRecords(n, domains))
	return t
}

func fleetRecords(n, domains int) []Member {
	var out []Member
	for i := 1; i < n; i++ {
		out = append(out, fleetMember(i, domains))
	}
	return out
}

func fleetMember(i, domains int) Member {
	m := testMember(fmt.Sprintf("node-%05d", i), fmt.Sprintf("domain-%02d", i%domains), 1)
	m.SetEndpoint(NewEndpoint(fmt.Sprintf("service-%d", i%410), m.id+"-upstream", 6, 130, EndpointReady, epoch))
	return m
}

// TestMemberSelection guards against probes of the wrong members, relays that cannot reach the target, and a rendezvous
// order that changes when another member leaves.
func TestMemberSelection(t *testing.T) {
	table := fleetTable(40, 2)
	targets := table.ProbeTargets()
	var order []string
	for _, e := range table.entriesInRange(HashRange{"domain-00", table.self.position + 1, table.self.position}) {
		order = append(order, e.member.id)
	}
	if !slices.Equal(ids(targets), order[:3]) {
		t.Errorf("ProbeTargets() = %v, want the successors %v", ids(targets), order[:3])
	}
	target := targets[0].id
	relays := table.ProbeRelays(target)
	if len(relays) != 2 || slices.Contains(ids(relays), target) || slices.Contains(ids(relays), table.Self().ID()) {
		t.Errorf("ProbeRelays(%s) = %v, want two others", target, ids(relays))
	}
	table.Suspect(epoch, relays[0].id)
	if slices.Contains(ids(table.ProbeRelays(target)), relays[0].id) {
		t.Errorf("ProbeRelays(%s) contains the suspect %s", target, relays[0].id)
	}
	before := ids(table.RendezvousOrder("p", "domain-01"))
	left := testMember(before[0], "domain-01", 1)
	left.SetLeft()
	table.Merge(epoch, []Member{left})
	if after := ids(table.RendezvousOrder("p", "domain-01")); !slices.Equal(after, before[1:]) {
		t.Errorf("RendezvousOrder() = %v after the first member has left, want %v", after, before[1:])
	}
	if n := len(table.RendezvousOrder("p", "")); n != 39 {
		t.Errorf("RendezvousOrder() over all failure domains has %d members, want 39", n)
	}
}

// TestDutyOrder guards against a duty with large messages that falls to a member with a slow link, and against members that
// disagree on the order.
func TestDutyOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		speeds map[string]uint64 // By member; others have none.
		first  []string
	}{
		{"one fast link", map[string]uint64{"m2": 25e6}, []string{"m2"}},
		{"fastest first", map[string]uint64{"m1": 1e6, "m3": 25e6, "m4": 1e6, "m0": 2e6}, []string{"m3", "m0"}},
	} {
		a, b := NewTable(testMember("m0", "d", 1).WithLinkSpeed(c.speeds["m0"])), NewTable(testMember("m5", "d", 1))
		var records []Member
		for i := range 6 {
			id := fmt.Sprintf("m%d", i)
			records = append(records, testMember(id, "d", 1).WithLinkSpeed(c.speeds[id]))
		}
		received, invalid := MembersFromWire(epoch, MembersToWire(epoch, records))
		a.Merge(epoch, received)
		b.Merge(epoch, received)
		order := ids(a.DutyOrder("p", "d"))
		if invalid > 0 || !slices.Equal(order[:len(c.first)], c.first) {
			t.Errorf("%s: order %v, want %v first", c.name, order, c.first)
		}
		if other := ids(b.DutyOrder("p", "d")); !slices.Equal(other, order) {
			t.Errorf("%s: order %v at one member, %v at another", c.name, order, other)
		}
		var equal []string
		for _, id := range ids(a.RendezvousOrder("p", "d")) {
			if c.speeds[id] == 0 {
				equal = append(equal, id)
			}
		}
		if rest := order[len(order)-len(equal):]; !slices.Equal(rest, equal) {
			t.Errorf("%s: equally fast members in the order %v, want %v", c.name, rest, equal)
		}
	}
}

// TestDigest guards against digests that depend on the order of changes or miss one.
func TestDigest(t *testing.T) {
	a, b := fleetTable(100, 4), NewTable(fleetMember(0, 4))
	records := fleetRecords(100, 4)
	slices.Reverse(records)
	b.Merge(epoch, records)
	if d := a.Digest().Differing(DigestFromWire(b.Digest().Wire())); d != nil {
		t.Errorf("digests differ in %v, want equal", d)
	}
	a.Suspect(epoch, "node-00001")
	moved := testMember("node-00002", "elsewhere", 2)
	a.Merge(epoch, []Member{moved})
	want := []string{"domain-01", "domain-02", "elsewhere"}
	if d := a.Digest().Differing(b.Digest()); !slices.Equal(d, want) {
		t.Errorf("digests differ in %v, want %v", d, want)
	}
	b.Merge(epoch, a.Records(want))
	if d := b.Digest().Differing(a.Digest()); d != nil {
		t.Errorf("digests differ in %v after the exchange, want equal", d)
	}
}

// TestDuplicateID guards against tables that keep different records of two processes with the same id and incarnation.
func TestDuplicateID(t *testing.T) {
	a, b := NewTable(testMember("self", "d", 1)), NewTable(testMember("self", "d", 1))
	first, second := testMember("x", "d", 1), testMember("x", "d", 1)
	second.entryAddress = "elsewhere"
	a.Merge(epoch, []Member{first, second})
	b.Merge(epoch, []Member{second, first})
	if d := a.Digest().Differing(b.Digest()); d != nil {
		t.Errorf("digests differ in %v, want equal", d)
	}
}

// TestUpdateSelf guards against updates of a node's own record that other tables ignore.
func TestUpdateSelf(t *testing.T) {
	a, b := NewTable(testMember("a", "d", 1)), NewTable(testMember("b", "d", 1))
	b.Merge(epoch, a.Records(nil))
	a.UpdateSelf(epoch, func(m *Member) {
		m.SetEndpoint(NewEndpoint("s", "u", 6, 130, EndpointDraining, epoch))
		m.SetLabels(map[string]string{"k": "v"})
	})
	received, invalid := MembersFromWire(epoch, MembersToWire(epoch, a.Records(nil)))
	if changes := b.Merge(epoch, received); invalid != 0 || len(changes) != 1 || changes[0].Kind() != ChangeUpdated {
		t.Errorf("Merge() = %v with %d invalid records, want one update", changes, invalid)
	}
	m, _ := b.Member("a")
	if e, ok := m.Endpoint(); !ok || e.State() != EndpointDraining || m.Labels()["k"] != "v" {
		t.Errorf("received record = %+v", m)
	}
	if d := a.Digest(); b.Digest().Differing(d) == nil {
		t.Error("digests are equal although only one table knows b")
	}
}
