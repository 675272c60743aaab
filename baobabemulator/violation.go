package baobabemulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Violations compares the records of callers with the runs at upstreams and returns each violation of the guarantees: an
// answer that is not the complete answer to its request, a call that was refused as not run but did run, an answer
// without a run, a non-idempotent request that ran more than once, an idempotency key under which more than one
// request ran, and a run of an account whose key reached the upstream.
func Violations(records []CallerRecord, runs []UpstreamRun) []string {
	byCall := make(map[string][]UpstreamRun)
	byContent := make(map[string][]UpstreamRun)
	for _, r := range runs {
		byCall[r.CallID] = append(byCall[r.CallID], r)
		byContent[requestContent(r.Path)] = append(byContent[requestContent(r.Path)], r)
	}
	var list []string
	checked := map[string]bool{}
	for _, r := range records {
		list = append(list, recordViolations(r, byCall)...)
		if r.Idempotent() || checked[r.Content] {
			continue
		}
		checked[r.Content] = true
		if n := len(byContent[r.Content]); n > 1 {
			list = append(list, fmt.Sprintf("request %s ran %d times: %v", r.Content, n, byContent[r.Content]))
		}
	}
	list = append(list, keyViolations(runs)...)
	list = append(list, accountViolations(runs)...)
	slices.Sort(list)
	return list
}

// accountViolations returns the runs of accounts whose key reached the upstream.
func accountViolations(runs []UpstreamRun) []string {
	var list []string
	for _, r := range runs {
		if r.Account != "" && r.KeyShown {
			list = append(list, fmt.Sprintf("request %s of account %s reached %s with its key", r.Path, r.Account, r.UpstreamID))
		}
	}
	return list
}

// keyViolations returns the idempotency keys under which more than one request ran. A key is scoped to its caller and to
// the service, which is the first segment of the path.
func keyViolations(runs []UpstreamRun) []string {
	byKey := make(map[string][]UpstreamRun)
	for _, r := range runs {
		if r.Key != "" && r.Method == http.MethodPost {
			id := firstPathSegment(r.Path) + " of " + r.Caller + ", key " + r.Key
			byKey[id] = append(byKey[id], r)
		}
	}
	var list []string
	for id, keyRuns := range byKey {
		if len(keyRuns) > 1 {
			list = append(list, fmt.Sprintf("%s ran %d times: %v", id, len(keyRuns), keyRuns))
		}
	}
	return list
}

func firstPathSegment(target string) string {
	path, _, _ := strings.Cut(target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// recordViolations returns the violations that one record shows.
func recordViolations(r CallerRecord, byCall map[string][]UpstreamRun) []string {
	var list []string
	if r.Mismatch != "" {
		list = append(list, fmt.Sprintf("request %s: %s", r.Content, r.Mismatch))
	}
	runs := byCall[r.CallID]
	if r.CallID != "" && r.Outcome == "not_run" && len(runs) > 0 {
		list = append(list, fmt.Sprintf("request %s was refused as not run (%s) but ran: %v",
			r.Content, r.Refusal, runs))
	}
	if r.Answered() && r.Status == 200 && r.Answer.Key != r.Request.Key {
		list = append(list, fmt.Sprintf("request %s with key %q has an answer for key %q",
			r.Content, r.Request.Key, r.Answer.Key))
	}
	if r.Answered() && r.Status == 200 && r.Request.Caller != "" && r.Answer.Caller != r.Request.Caller {
		list = append(list, fmt.Sprintf("request %s of %s has an answer for %s",
			r.Content, r.Request.Caller, r.Answer.Caller))
	}
	if r.Answered() && r.Status == 200 && len(byCall[r.Answer.CallID]) == 0 {
		list = append(list, fmt.Sprintf("request %s has an answer for call %s, which no upstream ran",
			r.Content, r.Answer.CallID))
	}
	return list
}

// requestContent returns the content that identifies a request, given its path and query.
func requestContent(target string) string {
	_, query, _ := strings.Cut(target, "?")
	for part := range strings.SplitSeq(query, "&") {
		if content, ok := strings.CutPrefix(part, "content="); ok {
			return content
		}
	}
	return ""
}
