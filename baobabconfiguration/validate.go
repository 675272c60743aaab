package baobabconfiguration

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
)

// Limits that keep a mistaken number from disabling a protection or exhausting memory.
const (
	maxPercent        = 100
	maxAttemptsLimit  = 10
	maxQueueLimit     = 100_000
	maxPathPrefix     = 1024
	maxWeight         = 1_000_000
	maxRanksPerPolicy = 16
)

var (
	hostPattern   = regexp.MustCompile(`^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// Validate returns all problems of the document, sorted by resource, or none if it is valid. It is the sole
// authority on validity.
func Validate(d *Document) []Problem {
	v := &validator{document: d}
	for _, r := range d.resources {
		v.kind, v.name = r.Kind(), r.Name()
		switch r := r.(type) {
		case Policy:
			v.policy(r)
		case Route:
			v.route(r)
		case Selector:
			v.selector(r)
		case Service:
			v.labels(r.Labels())
		case UpstreamLabels:
			v.labels(r.Labels())
		}
	}
	v.ambiguousRoutes()
	slices.SortStableFunc(v.problems, func(a, b Problem) int {
		return strings.Compare(string(a.kind)+"\x00"+a.name, string(b.kind)+"\x00"+b.name)
	})
	return v.problems
}

type validator struct {
	document *Document
	kind     Kind // Resource under examination.
	name     string
	problems []Problem
}

func (v *validator) add(format string, arguments ...any) {
	v.problems = append(v.problems, Problem{kind: v.kind, name: v.name, text: fmt.Sprintf(format, arguments...)})
}

func (v *validator) within(field string, value, low, high int) {
	if value < low || value > high {
		v.add("%s is %d, want %d to %d", field, value, low, high)
	}
}

func (v *validator) labels(l Labels) {
	if err := l.check(); err != nil {
		v.add("%v", err)
	}
}

func (v *validator) policy(p Policy) {
	v.within("number of ranks", len(p.ranks), 1, maxRanksPerPolicy)
	names := map[string]bool{}
	priorities := map[int]bool{}
	floors := 0
	for _, r := range p.ranks {
		if !namePattern.MatchString(r.name) {
			v.add("rank name %.64q is malformed", r.name)
		}
		if names[r.name] {
			v.add("rank %s occurs twice", r.name)
		}
		if priorities[r.priority] {
			v.add("priority %d occurs twice", r.priority)
		}
		names[r.name], priorities[r.priority] = true, true
		v.within("floor_percent of rank "+r.name, r.floorPercent, 0, maxPercent)
		floors += min(max(r.floorPercent, 0), maxPercent+1)
		if r.target <= 0 {
			v.add("target of rank %s is %s, want more than 0", r.name, r.target)
		}
		if r.worth < 0 {
			v.add("worth of rank %s is %d, want 0 or more", r.name, r.worth)
		}
	}
	if floors > maxPercent {
		v.add("floor_percent of all ranks is %d in sum, want at most %d", floors, maxPercent)
	}
	v.within("retry_budget_percent", p.retryBudgetPercent, 0, maxPercent)
	v.within("max_attempts", p.maxAttempts, 1, maxAttemptsLimit)
	v.within("queue_limit", p.queueLimit, 1, maxQueueLimit)
	v.within("caller_floor_percent", p.callerFloorPercent, 0, maxPercent)
	if p.quarantineAfter < 1 {
		v.add("quarantine_after is %d, want 1 or more", p.quarantineAfter)
	}
	if p.quarantineTime <= 0 {
		v.add("quarantine_time is %s, want more than 0", p.quarantineTime)
	}
}

func (v *validator) route(r Route) {
	if !hostPattern.MatchString(r.host) {
		v.add("host %.64q must be empty or a name in small letters without port", r.host)
	}
	if !isPathPrefix(r.pathPrefix) {
		v.add("path_prefix %.64q must start with \"/\" and be clean", r.pathPrefix)
	}
	for i, m := range r.methods {
		if !methodPattern.MatchString(m) {
			v.add("method %.64q must be capital letters", m)
		}
		if i > 0 && r.methods[i-1] == m {
			v.add("method %s occurs twice", m)
		}
	}
	if r.timeout <= 0 {
		v.add("timeout is %s, want more than 0", r.timeout)
	}
	if _, ok := v.document.Service(r.service); !ok {
		v.add("service %q does not exist", r.service)
	}
	if r.unsafe && r.idempotent {
		v.add("unsafe and idempotent exclude each other")
	}
	v.split(r.split)
	p, ok := v.document.Policy(r.policy)
	if !ok {
		v.add("policy %q does not exist", r.policy)
		return
	}
	if _, ok := p.Rank(r.rank); !ok {
		v.add("rank %q does not exist in policy %s", r.rank, p.Name())
	}
}

func (v *validator) split(list []Share) {
	total := 0
	for i, s := range list {
		v.within("weight of service "+s.service, s.weight, 0, maxWeight)
		total += min(max(s.weight, 0), maxWeight)
		if _, ok := v.document.Service(s.service); !ok {
			v.add("service %q of the split does not exist", s.service)
		}
		if i > 0 && list[i-1].service == s.service {
			v.add("service %s occurs twice in the split", s.service)
		}
	}
	if len(list) > 0 && total == 0 {
		v.add("all weights of the split are 0")
	}
}

// isPathPrefix reports whether the prefix can match a path: Match compares whole segments of clean paths.
func isPathPrefix(prefix string) bool {
	clean := prefix
	if len(prefix) > 1 {
		clean = strings.TrimSuffix(prefix, "/")
	}
	return strings.HasPrefix(prefix, "/") && len(prefix) <= maxPathPrefix && path.Clean(clean) == clean &&
		!strings.ContainsAny(prefix, "?# ")
}

func (v *validator) selector(s Selector) {
	v.labels(s.match)
	v.references("route", s.routes, func(name string) bool {
		_, ok := v.document.Route(name)
		return ok || s.selectsAllRoutes()
	})
	v.references("policy", s.policies, func(name string) bool {
		_, ok := v.document.Policy(name)
		return ok
	})
}

func (v *validator) references(kind string, names []string, exists func(string) bool) {
	for i, name := range names {
		if i > 0 && names[i-1] == name {
			v.add("%s %s is listed twice", kind, name)
			continue
		}
		if !exists(name) {
			v.add("%s %q does not exist", kind, name)
		}
	}
}

// ambiguousRoutes finds routes that match the same requests on a proxy that some labels could have. Routes that
// no proxy gets together may overlap: that is how failure domains get different routes for one path.
func (v *validator) ambiguousRoutes() {
	type place struct{ host, prefix string }
	places := map[place][]Route{}
	proxies := v.proxiesByRoute()
	for _, r := range v.document.Routes() {
		p := place{r.host, r.pathPrefix}
		for _, other := range places[p] {
			if r.overlaps(other) && anyCompatible(proxies[r.name], proxies[other.name]) {
				v.kind, v.name = KindRoute, r.name
				v.add("matches the same requests as route %s on some proxies", other.name)
			}
		}
		places[p] = append(places[p], r)
	}
}

// proxiesByRoute returns, for each route, the labels that its selectors match.
func (v *validator) proxiesByRoute() map[string][]Labels {
	proxies := map[string][]Labels{}
	for _, s := range v.document.Selectors() {
		names := s.routes
		if s.selectsAllRoutes() {
			names = nil
			for _, r := range v.document.Routes() {
				names = append(names, r.name)
			}
		}
		for _, name := range names {
			proxies[name] = append(proxies[name], s.match)
		}
	}
	return proxies
}

func anyCompatible(a, b []Labels) bool {
	for _, l := range a {
		if slices.ContainsFunc(b, l.compatible) {
			return true
		}
	}
	return false
}
