package baobabemulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Violations compares what callers saw with what upstreams ran, and returns each contradiction to what is promised:
// an answer that is not the whole answer to its request, a refusal as not run of a call that was run, an answer
// without a run, a request that is not idempotent and ran more than once, and an idempotency key under which more than
// one request ran.
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
	list = append(list, keyViolations(runs)...)
	slices.Sort(list)
	return list
}

// keyViolations returns the idempotency keys under which more than one request ran. A key belongs to a caller and to
// the service, which is the first part of the path.
func keyViolations(runs []UpstreamRun) []string {
	byKey := make(map[string][]UpstreamRun)
	for _, r := range runs {
		if r.Key != "" && r.Method == http.MethodPost {
			id := firstSegment(r.Path) + " of " + r.Caller + ", key " + r.Key
			byKey[id] = append(byKey[id], r)
		}
	}
	var list []string
	for id, same := range byKey {
		if len(same) > 1 {
			list = append(list, fmt.Sprintf("%s ran %d times: %v", id, len(same), same))
		}
	}
	return list
}

func firstSegment(target string) string {
	path, _, _ := strings.Cut(target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
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
	if r.Answered() && r.Status == 200 && r.Answer.Key != r.Request.Key {
		list = append(list, fmt.Sprintf("request %s with key %q has an answer for key %q", r.Content, r.Request.Key, r.Answer.Key))
	}
	if r.Answered() && r.Status == 200 && r.Request.Caller != "" && r.Answer.Caller != r.Request.Caller {
		list = append(list, fmt.Sprintf("request %s of %s has an answer for %s", r.Content, r.Request.Caller, r.Answer.Caller))
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
