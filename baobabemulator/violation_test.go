package baobabemulator

import (
	"net/http"
	"strings"
	"testing"
)

// TestViolations guards against a check that misses a kind of violation or reports one where there is none.
func TestViolations(t *testing.T) {
	const target = "/deposits?content=a"
	post := CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: "k", Caller: "club"}
	run := UpstreamRun{CallID: "1", Method: http.MethodPost, Path: target, Key: "k", Caller: "club"}
	answer := UpstreamAnswer{CallID: "1", Target: target, Key: "k", Caller: "club"}
	record := func(change func(*CallerRecord)) []CallerRecord {
		r := CallerRecord{Request: post, Content: "a", CallID: "1", Status: 200, Outcome: "ran", Answer: answer}
		change(&r)
		return []CallerRecord{r}
	}
	unchanged := func(*CallerRecord) {}
	other := run
	other.CallID = "2"
	otherContent := other
	otherContent.Path = "/deposits?content=b"
	for _, c := range []struct {
		name    string
		records []CallerRecord
		runs    []UpstreamRun
		want    string // Substring of each violation; empty: no violation.
	}{
		{"answered", record(unchanged), []UpstreamRun{run}, ""},
		{"unknown and run", record(func(r *CallerRecord) { r.Outcome, r.Refusal = "unknown", "answer_lost" }), []UpstreamRun{run}, ""},
		{"not run", record(func(r *CallerRecord) { r.Outcome, r.Refusal = "not_run", "draining" }), nil, ""},
		{"not run and run", record(func(r *CallerRecord) { r.Outcome, r.Refusal = "not_run", "draining" }), []UpstreamRun{run}, "refused as not run"},
		{"answer without run", record(unchanged), nil, "no upstream ran"},
		{"incomplete", record(func(r *CallerRecord) { r.Mismatch = "digest" }), []UpstreamRun{run}, "digest"},
		{"run twice", record(unchanged), []UpstreamRun{run, other}, "ran 2 times"},
		{"two requests under one key", record(unchanged), []UpstreamRun{run, otherContent}, "key k ran 2 times"},
		{"answer for another key", record(func(r *CallerRecord) { r.Answer.Key = "j" }), []UpstreamRun{run}, `answer for key "j"`},
		{"answer for another caller", record(func(r *CallerRecord) { r.Answer.Caller = "team" }), []UpstreamRun{run}, "answer for team"},
	} {
		got := Violations(c.records, c.runs)
		if c.want == "" && len(got) > 0 || c.want != "" && len(got) == 0 {
			t.Errorf("%s: Violations = %v, want %q", c.name, got, c.want)
		}
		for _, v := range got {
			if !strings.Contains(v, c.want) {
				t.Errorf("%s: violation %q, want %q", c.name, v, c.want)
			}
		}
	}
}
