package baobabemulator

import (
	"fmt"
	"slices"
	"strings"
)

// Violations compares what callers saw with what upstreams ran, and returns each contradiction to what is promised:
// an answer that is not the whole answer to its request, a refusal as not run of a call that was run, an answer
// without a run, and a request that is not idempotent and ran more than once.
func Violations(records []CallerRecord, runs []UpstreamRun) []string {
	byCall := make(map[string][]UpstreamRun)
	byContent := make(map[string][]UpstreamRun)
	for _, r := range runs {
		byCall[r.CallID] = append(byCall[r.CallID], r)
		byContent[contentOf(r.Path)] = append(byContent[contentOf(r.Path)], r)
	}
	var list []string
	once := map[string]bool{}
	for _, r := range records {
		list = append(list, violationsOf(r, byCall)...)
		if r.Idempotent() || once[r.Content] {
			continue
		}
		once[r.Content] = true
		if n := len(byContent[r.Content]); n > 1 {
			list = append(list, fmt.Sprintf("request %s ran %d times: %v", r.Content, n, byContent[r.Content]))
		}
	}
	slices.Sort(list)
	return list
}

func violationsOf(r CallerRecord, byCall map[string][]UpstreamRun) []string {
	var list []string
	if r.Fault != "" {
		list = append(list, fmt.Sprintf("request %s: %s", r.Content, r.Fault))
	}
	runs := byCall[r.CallID]
	if r.CallID != "" && r.Outcome == "not_run" && len(runs) > 0 {
		list = append(list, fmt.Sprintf("request %s was refused as not run (%s) and ran: %v", r.Content, r.Refusal, runs))
	}
	if r.Answered() && r.Status == 200 && len(byCall[r.Answer.CallID]) == 0 {
		list = append(list, fmt.Sprintf("request %s has an answer of call %s, which no upstream ran", r.Content, r.Answer.CallID))
	}
	return list
}

// contentOf returns what made a request unique, from its path and query.
func contentOf(target string) string {
	_, query, _ := strings.Cut(target, "?")
	for part := range strings.SplitSeq(query, "&") {
		if content, ok := strings.CutPrefix(part, "content="); ok {
			return content
		}
	}
	return ""
}
