package baobabmembership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestBroadcastReachesEachMemberOnce guards against broadcasts that miss a member or reach it twice, also when children
// fail and their ranges are reassigned to other members.
func TestBroadcastReachesEachMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "members")
		fanout := rapid.IntRange(1, 5).Draw(t, "fanout")
		origin := rapid.IntRange(0, n-1).Draw(t, "origin")
		failed := map[string]bool{}
		tables := map[string]*Table{}
		var records []Member
		for i := range n {
			records = append(records, testMember(fmt.Sprintf("n%d", i), "d", 1))
			failed[records[i].id] = i != origin && rapid.IntRange(0, 4).Draw(t, "failed") == 0
		}
		for _, m := range records {
			tables[m.id] = NewTable(m)
			tables[m.id].Merge(epoch, records)
		}
		if rapid.Bool().Draw(t, "from another failure domain") {
			failed["other"] = false
			tables["other"] = NewTable(testMember("other", "e", 1))
			tables["other"].Merge(epoch, records)
			checkBroadcast(t, tables, failed, "other", n, fanout, n)
			return
		}
		checkBroadcast(t, tables, failed, records[origin].id, n-1, fanout, n)
	})
}

// checkBroadcast runs a broadcast from an origin and fails unless it reaches each other member exactly once.
func checkBroadcast(
	t *rapid.T, tables map[string]*Table, failed map[string]bool, origin string, want, fanout, depth int,
) {
	reached := map[string]int{}
	var visit func(id string, r HashRange, depth int)
	visit = func(id string, r HashRange, depth int) {
		branches := tables[id].Branches(r, fanout)
		if len(branches) > max(fanout, 2) {
			t.Fatalf("%d children, want at most %d", len(branches), max(fanout, 2))
		}
		if depth < 0 {
			t.Fatal("the broadcast does not end")
		}
		for _, b := range branches {
			tried := map[string]bool{}
			for ok := true; ok; {
				child := b.Child().ID()
				if !b.HashRange().contains(ringPosition(child)) {
					t.Fatalf("child %s is outside its range", child)
				}
				if !failed[child] {
					reached[child]++
					visit(child, b.HashRange(), depth-1)
					break
				}
				tried[child] = true
				b, ok = tables[id].Reassign(b, func(id string) bool { return tried[id] })
			}
		}
	}
	visit(origin, FullHashRange("d"), depth)
	for id, f := range failed {
		if f {
			want--
		}
		if n := reached[id]; n > 1 || n == 1 && id == origin {
			t.Fatalf("%s was reached %d times", id, n)
		}
	}
	if len(reached) != want {
		t.Fatalf("reached %d members, want %d", len(reached), want)
	}
}
