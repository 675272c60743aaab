package baobaboperator

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSummarize guards against nodes that are missing from the status or listed with the wrong reason.
func TestSummarize(t *testing.T) {
	one, two := Version{1, "d1"}, Version{2, "d2"}
	reports := []NodeReport{
		{ID: "a2", FailureDomain: "a", State: "alive", Version: one, VersionAge: time.Minute},
		{ID: "a1", FailureDomain: "a", State: "alive", Version: two, Refusals: map[string]uint64{"queue_full": 2, "draining": 1}},
		{ID: "a3", FailureDomain: "a", State: "alive", Version: one, Rejected: two, RejectedReason: "route r: no policy",
			RejectedAge: time.Second, Refusals: map[string]uint64{"queue_full": 3}},
		{ID: "b1", FailureDomain: "b", State: "suspect", UnreachableReason: "timeout", Refusals: map[string]uint64{"x": 9}},
		{ID: "b2", FailureDomain: "b", State: "dead", UnreachableReason: "dead"},
		{ID: "b3", FailureDomain: "b", State: "alive", Version: two, Service: "quotes", Upstream: "u3", EndpointState: "draining",
			Retries: map[string]uint64{"not_run": 4}},
		{ID: "b3", FailureDomain: "b", State: "alive", UnreachableReason: "timeout"},
	}
	got, err := json.MarshalIndent(Summarize(testTime, "a1", one, reports), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	compacted := strings.Join(strings.Fields(string(got)), "")
	for _, want := range []string{
		`"version":{"number":2,"digest":"d2"}`,
		`{"name":"a","nodes":3,"at_version":1,"versions":[{"version":{"number":2,"digest":"d2"},"nodes":1},` +
			`{"version":{"number":1,"digest":"d1"},"nodes":2}],"behind":[{"node":"a2","version":{"number":1,"digest":"d1"},` +
			`"reason":"notreceivedyet","since":"2026-12-04T03:59:00Z"},{"node":"a3","version":{"number":1,"digest":"d1"},` +
			`"reason":"rejected:router:nopolicy","since":"2026-12-04T03:59:59Z"}]}`,
		`{"name":"b","nodes":2,"at_version":1,`,
		`"behind":[{"node":"b1","version":{"number":0,"digest":""},"reason":"unreachable:timeout"}]`,
		`"rejections":[{"node":"a3","failure_domain":"a","version":{"number":2,"digest":"d2"},` +
			`"reason":"router:nopolicy","time":"2026-12-04T03:59:59Z"}]`,
		`"members":[{"state":"alive","count":4},{"state":"dead","count":1,"members":["b2"]},` +
			`{"state":"suspect","count":1,"members":["b1"]}]`,
		`"draining":[{"node":"b3","failure_domain":"b","service":"quotes","upstream":"u3"}]`,
		`"refusals":[{"reason":"draining","count":1},{"reason":"queue_full","count":5}]`,
		`"retries":[{"reason":"not_run","count":4}]`,
		`"unreachable":[{"node":"b1","failure_domain":"b","reason":"timeout"}]`,
	} {
		if !strings.Contains(compacted, want) {
			t.Errorf("status lacks %s:\n%s", want, got)
		}
	}
}

// TestInForceEverywhere guards against a version that is reported as in force everywhere while a node does not have it.
func TestInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "nodes")
		var reports []NodeReport
		want := n > 0
		for i := range n {
			r := NodeReport{
				ID: string(rune('a' + i)), FailureDomain: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"), State: "alive",
				Version: Version{Number: rapid.Uint64Range(1, 3).Draw(t, "number")},
			}
			if rapid.Bool().Draw(t, "unreachable") {
				r.UnreachableReason = "timeout"
			}
			want = want && r.UnreachableReason == "" && r.Version.Number >= 2
			reports = append(reports, r)
		}
		if got := Summarize(testTime, "a", Version{}, reports).InForceEverywhere(2); got != want {
			t.Fatalf("InForceEverywhere(2) = %t, want %t for %+v", got, want, reports)
		}
	})
}
