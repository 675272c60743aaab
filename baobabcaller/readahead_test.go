package baobabcaller

import (
	"testing"

	"pgregory.net/rapid"
)

// testItem is an aheadItem that records its cancellation.
type testItem struct {
	number    int
	cancelled bool
}

// Number implements aheadItem.
func (i *testItem) Number() int { return i.number }

// Cancel implements aheadItem.
func (i *testItem) Cancel() { i.cancelled = true }

// TestReadAheadModel plays requests that arrive and are answered at any moment, and compares the decisions with the
// rule that they follow: a request is handed on early if and only if everything from the current request up to it may
// run again and has no body, there is room for it, and the connection is open.
func TestReadAheadModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		kinds := rapid.SliceOfN(rapid.Bool(), 1, 20).Draw(t, "may run again")
		a := newReadAhead(readAheadLimits{requests: limit, bytes: 1})
		items := make([]*testItem, len(kinds))
		arrived, current, closed := 0, 0, false // Requests 1 to arrived have arrived; current is being served.
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { arrived = min(len(kinds), arrived+rapid.IntRange(1, 5).Draw(t, "arriving")) },
			"answer": func(t *rapid.T) {
				if current == arrived {
					t.Skip("nothing to serve")
				}
				current++
				item := a.begin()
				if handed := items[current-1] != nil && !closed; handed != (item != nil) {
					t.Fatalf("request %d in its turn: item %v, handed on early %v", current, item, handed)
				}
				if item != nil && item.Number() != current {
					t.Fatalf("request %d in its turn gets the answer of %d", current, item.Number())
				}
				if kinds[current-1] {
					a.pass()
				}
			},
			"close": func(*rapid.T) {
				waiting := a.waiting()
				if n := a.close(); n != waiting {
					t.Fatalf("close() = %d, %d waited", n, waiting)
				}
				closed = true
				for i, item := range items {
					if item != nil && i >= current && !item.cancelled {
						t.Fatalf("request %d was not cancelled", i+1)
					}
				}
			},
			"": func(t *rapid.T) {
				if current == 0 {
					return
				}
				for number := current + 1; number <= arrived; number++ {
					verdict := a.decide(number, true, kinds[number-1])
					early := !closed
					for n := current; n <= number; n++ {
						early = early && kinds[n-1]
					}
					switch {
					case verdict == aheadHandOn && (!early || number-current > limit):
						t.Fatalf("request %d handed on while %d is served, limit %d", number, current, limit)
					case verdict == aheadWait && early && limit > 0:
						t.Fatalf("request %d waits while %d is served", number, current)
					case verdict == aheadFull && number-current <= limit:
						t.Fatalf("request %d finds no room while %d is served, limit %d", number, current, limit)
					}
					if verdict == aheadWait || verdict == aheadFull {
						return
					}
					if verdict == aheadHandOn {
						items[number-1] = &testItem{number: number}
						a.handOn(items[number-1])
					}
				}
			},
		})
	})
}
