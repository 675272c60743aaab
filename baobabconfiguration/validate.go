package baobabconfiguration

import (
	"fmt"
	"math"
	"path"
	"regexp"
	"slices"
	"strings"
)

// Limits that prevent a mistaken value from disabling a protection or exhausting memory.
const (
	maxPercent         = 100
	maxAttemptsLimit   = 10
	maxQueueLimit      = 100_000
	maxPathPrefixBytes = 1024
	maxWeight          = 1_000_000
	maxRanksPerPolicy  = 16
)

var (
	hostPattern   = regexp.MustCompile(`^([a-z0-9_]([a-z0-9._-]{0,251}[a-z0-9_])?)?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// Validate returns all problems of the document, sorted by the kind and name of the resource, or none if it is valid. No
// other check decides whether a document is valid.
func Validate(d *Document) []Problem {
	v := &validator{document: d, keyOwners: map[KeyDigest]string{}}
	for _, r := range d.resources {
		v.kind, v.name = r.Kind(), r.Name()
		switch r := r.(type) {
		case Account:
			v.checkAccount(r)
		case Authentication:
			v.checkAuthentication(r)
		case Policy:
			v.checkPolicy(r)
		case Route:
			v.checkRoute(r)
		case Selector:
			v.checkSelector(r)
		case Service:
			v.checkLabels(r.Labels())
		case UpstreamLabels:
			v.checkLabels(r.Labels())
		}
	}
	v.checkAmbiguousRoutes()
	slices.SortStableFunc(v.problems, func(a, b Problem) int {
		return strings.Compare(string(a.kind)+"\x00"+a.name, string(b.kind)+"\x00"+b.name)
	})
	return v.problems
}

// validator collects the problems of a document.
type validator struct {
	document  *Document
	kind      Kind                 // Of the resource being checked.
	name      string               // Of the resource being checked.
	keyOwners map[KeyDigest]string // Names of the accounts checked so far, by the digests of their keys.
	problems  []Problem
}

func (v *validator) addProblem(format string, arguments ...any) {
	v.problems = append(v.problems, Problem{kind: v.kind, name: v.name, text: fmt.Sprintf(format, arguments...)})
}

func (v *validator) checkRange(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		v.addProblem("%s is %d, want %d to %d", field, value, lowest, highest)
	}
}

func (v *validator) checkLabels(l Labels) {
	if err := l.validate(); err != nil {
		v.addProblem("%v", err)
	}
}

func (v *validator) checkAccount(a Account) {
	for _, text := range a.malformed {
		// The text could be a key by mistake, so it is not shown.
		v.addProblem("key_digests has a value of %d characters, want 64 hexadecimal digits", len(text))
	}
	for _, d := range a.keyDigests {
		if owner, ok := v.keyOwners[d]; ok {
			v.addProblem("key_digests has %s, which is already a key of account %s", d, owner)
		}
		v.keyOwners[d] = a.name
	}
	if a.priority < 0 {
		v.addProblem("priority is %d, want 0 or more", a.priority)
	}
	v.checkLimit("rate", a.rate)
	v.checkLimit("burst", a.burst)
	v.checkRange("weight", a.weight, 1, maxWeight)
	v.checkLabels(a.labels)
}

func (v *validator) checkAuthentication(a Authentication) {
	if a.name != AuthenticationRequired {
		v.addProblem("name is %.64q, want %q", a.name, AuthenticationRequired)
	}
}

func (v *validator) checkLimit(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		v.addProblem("%s is %g, want a finite number of 0 or more", field, value)
	}
}

func (v *validator) checkPolicy(p Policy) {
	v.checkRange("number of ranks", len(p.ranks), 1, maxRanksPerPolicy)
	names := map[string]bool{}
	priorities := map[int]bool{}
	floorSum := 0
	for _, r := range p.ranks {
		if !namePattern.MatchString(r.name) {
			v.addProblem("rank name %.64q is malformed", r.name)
		}
		if names[r.name] {
			v.addProblem("rank %s occurs twice", r.name)
		}
		if priorities[r.priority] {
			v.addProblem("priority %d occurs twice", r.priority)
		}
		names[r.name], priorities[r.priority] = true, true
		v.checkRange("floor_percent of rank "+r.name, r.floorPercent, 0, maxPercent)
		floorSum += min(max(r.floorPercent, 0), maxPercent+1)
		if r.latencyTarget <= 0 {
			v.addProblem("target of rank %s is %s, want more than 0", r.name, r.latencyTarget)
		}
		if r.worth < 0 {
			v.addProblem("worth of rank %s is %d, want 0 or more", r.name, r.worth)
		}
	}
	if floorSum > maxPercent {
		v.addProblem("sum of floor_percent over all ranks is %d, want at most %d", floorSum, maxPercent)
	}
	v.checkRange("retry_budget_percent", p.retryBudgetPercent, 0, maxPercent)
	v.checkRange("max_attempts", p.maxAttempts, 1, maxAttemptsLimit)
	v.checkRange("queue_limit", p.queueLimit, 1, maxQueueLimit)
	v.checkRange("caller_floor_percent", p.callerFloorPercent, 0, maxPercent)
	if p.quarantineAfter < 1 {
		v.addProblem("quarantine_after is %d, want 1 or more", p.quarantineAfter)
	}
	if p.quarantineTime <= 0 {
		v.addProblem("quarantine_time is %s, want more than 0", p.quarantineTime)
	}
}

func (v *validator) checkRoute(r Route) {
	if !hostPattern.MatchString(r.host) {
		v.addProblem("host %.64q must be empty or a lower-case name without a port", r.host)
	}
	if !isValidPathPrefix(r.pathPrefix) {
		v.addProblem("path_prefix %.64q must be a clean path that starts with \"/\"", r.pathPrefix)
	}
	for i, m := range r.methods {
		if !methodPattern.MatchString(m) {
			v.addProblem("method %.64q must consist of upper-case letters", m)
		}
		if i > 0 && r.methods[i-1] == m {
			v.addProblem("method %s occurs twice", m)
		}
	}
	if r.timeout <= 0 {
		v.addProblem("timeout is %s, want more than 0", r.timeout)
	}
	if _, ok := v.document.Service(r.service); !ok {
		v.addProblem("service %q does not exist", r.service)
	}
	if r.unsafe && r.idempotent {
		v.addProblem("unsafe and idempotent are mutually exclusive")
	}
	v.checkSplit(r.split)
	p, ok := v.document.Policy(r.policy)
	if !ok {
		v.addProblem("policy %q does not exist", r.policy)
		return
	}
	if _, ok := p.Rank(r.rank); !ok {
		v.addProblem("rank %q does not exist in policy %s", r.rank, p.Name())
	}
	for i, a := range r.accountRanks {
		if _, ok := p.Rank(a.Rank); !ok {
			v.addProblem("rank %q of account_ranks does not exist in policy %s", a.Rank, p.Name())
		}
		if a.Priority < 0 {
			v.addProblem("priority %d of account_ranks is negative", a.Priority)
		}
		if i > 0 && r.accountRanks[i-1].Priority == a.Priority {
			v.addProblem("priority %d occurs twice in account_ranks", a.Priority)
		}
	}
}

func (v *validator) checkSplit(split []WeightedService) {
	total := 0
	for i, s := range split {
		v.checkRange("weight of service "+s.service, s.weight, 0, maxWeight)
		total += min(max(s.weight, 0), maxWeight)
		if _, ok := v.document.Service(s.service); !ok {
			v.addProblem("service %q of the split does not exist", s.service)
		}
		if i > 0 && split[i-1].service == s.service {
			v.addProblem("service %s occurs twice in the split", s.service)
		}
	}
	if len(split) > 0 && total == 0 {
		v.addProblem("all weights of the split are 0")
	}
}

// isValidPathPrefix reports whether the prefix can match any path. View.Match compares whole segments of clean paths.
func isValidPathPrefix(prefix string) bool {
	clean := prefix
	if len(prefix) > 1 {
		clean = strings.TrimSuffix(prefix, "/")
	}
	return strings.HasPrefix(prefix, "/") && len(prefix) <= maxPathPrefixBytes && path.Clean(clean) == clean &&
		!strings.ContainsAny(prefix, "?# ")
}

func (v *validator) checkSelector(s Selector) {
	v.checkLabels(s.match)
	v.checkReferences("route", s.routes, func(name string) bool {
		_, ok := v.document.Route(name)
		return ok || s.selectsAllRoutes()
	})
	v.checkReferences("policy", s.policies, func(name string) bool {
		_, ok := v.document.Policy(name)
		return ok
	})
}

func (v *validator) checkReferences(kind string, names []string, exists func(string) bool) {
	for i, name := range names {
		if i > 0 && names[i-1] == name {
			v.addProblem("%s %s is listed twice", kind, name)
			continue
		}
		if !exists(name) {
			v.addProblem("%s %q does not exist", kind, name)
		}
	}
}

// checkAmbiguousRoutes reports pairs of routes that match the same requests and that the same proxy could receive. Other
// routes may overlap, so that different failure domains can have different routes for one path.
func (v *validator) checkAmbiguousRoutes() {
	type location struct{ host, pathPrefix string }
	seen := map[location][]Route{}
	selectorLabels := v.selectorLabelsByRoute()
	for _, r := range v.document.Routes() {
		l := location{r.host, r.pathPrefix}
		for _, other := range seen[l] {
			if r.overlaps(other) && anyCompatible(selectorLabels[r.name], selectorLabels[other.name]) {
				v.kind, v.name = KindRoute, r.name
				v.addProblem("matches the same requests as route %s on some proxies", other.name)
			}
		}
		seen[l] = append(seen[l], r)
	}
}

// selectorLabelsByRoute returns the match labels of the selectors of each route, by route name.
func (v *validator) selectorLabelsByRoute() map[string][]Labels {
	labels := map[string][]Labels{}
	for _, s := range v.document.Selectors() {
		names := s.routes
		if s.selectsAllRoutes() {
			names = nil
			for _, r := range v.document.Routes() {
				names = append(names, r.name)
			}
		}
		for _, name := range names {
			labels[name] = append(labels[name], s.match)
		}
	}
	return labels
}

// anyCompatible reports whether a proxy could match a selector of each list.
func anyCompatible(a, b []Labels) bool {
	for _, l := range a {
		if slices.ContainsFunc(b, l.compatibleWith) {
			return true
		}
	}
	return false
}
