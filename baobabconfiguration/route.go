package baobabconfiguration

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const defaultRouteTimeout = 5 * time.Second

// A Route directs requests that match its host, path prefix and methods to a service.
type Route struct {
	baseResource
	host string // Lower case, without port; empty matches every host.
	// pathPrefix matches whole segments: "/a" matches "/a" and "/a/b" but not "/ab"; "/a/" matches "/a/b" but not "/a".
	pathPrefix            string
	methods               []string // Sorted; empty matches every method.
	service               string
	split                 []WeightedService // Sorted by service; empty sends all calls to service.
	policy                string            // Empty means DefaultPolicyName.
	rank                  string
	timeout               time.Duration
	idempotent            bool
	unsafe                bool // No request may run more than once, whatever its method; excludes idempotent.
	requireIdempotencyKey bool
	allowAnonymous        bool              // Calls without a key are served while keys are required.
	accountRanks          []accountRankJSON // Sorted by priority.
}

// accountRankJSON names the rank that a route gives to calls of accounts with a priority.
type accountRankJSON struct {
	Priority int    `json:"priority"`
	Rank     string `json:"rank"`
}

type routeJSON struct {
	Host                  string                `json:"host"`
	PathPrefix            string                `json:"path_prefix"`
	Methods               []string              `json:"methods"`
	Service               string                `json:"service"`
	Policy                string                `json:"policy"`
	Rank                  string                `json:"rank"`
	Timeout               jsonDuration          `json:"timeout"`
	Idempotent            bool                  `json:"idempotent"`
	RequireIdempotencyKey bool                  `json:"require_idempotency_key"`
	Split                 []weightedServiceJSON `json:"split,omitempty"`
	Unsafe                bool                  `json:"unsafe,omitempty"`
	AllowAnonymous        bool                  `json:"allow_anonymous,omitempty"`
	AccountRanks          []accountRankJSON     `json:"account_ranks,omitempty"`
}

// RouteOption sets an optional property of a route.
type RouteOption func(*routeJSON)

// WithRouteAccountRanks sets the ranks of calls of accounts, by the priority of the account.
func WithRouteAccountRanks(ranks map[int]string) RouteOption {
	list := make([]accountRankJSON, 0, len(ranks))
	for _, priority := range slices.Sorted(maps.Keys(ranks)) {
		list = append(list, accountRankJSON{Priority: priority, Rank: ranks[priority]})
	}
	return func(j *routeJSON) { j.AccountRanks = list } // Shared by all routes with the option.
}

// WithRouteAllowAnonymous declares that calls without a key are served.
func WithRouteAllowAnonymous() RouteOption { return func(j *routeJSON) { j.AllowAnonymous = true } }

// WithRouteIdempotent declares that a request may run more than once, whatever its method.
func WithRouteIdempotent() RouteOption { return func(j *routeJSON) { j.Idempotent = true } }

// WithRoutePolicy sets the policy and a rank of that policy.
func WithRoutePolicy(policy, rank string) RouteOption {
	return func(j *routeJSON) { j.Policy, j.Rank = policy, rank }
}

// WithRouteSplit splits the calls among services by weight. A route without a service gets the first of them by name.
func WithRouteSplit(weights map[string]int) RouteOption {
	return func(j *routeJSON) {
		for service, weight := range weights {
			j.Split = append(j.Split, weightedServiceJSON{Service: service, Weight: weight})
		}
	}
}

// WithRouteTimeout limits the duration of a call.
func WithRouteTimeout(d time.Duration) RouteOption {
	return func(j *routeJSON) { j.Timeout = jsonDuration(d) }
}

// WithRouteUnsafe declares that a request may run at most once, whatever its method.
func WithRouteUnsafe() RouteOption { return func(j *routeJSON) { j.Unsafe = true } }

// NewRoute returns the route that ParseResource would return for the same fields.
func NewRoute(name, host, pathPrefix, service string, options ...RouteOption) (Route, error) {
	if err := checkName(KindRoute, name); err != nil {
		return Route{}, err
	}
	j := defaultRouteJSON()
	j.Host, j.PathPrefix, j.Service = host, pathPrefix, service
	for _, o := range options {
		o(&j)
	}
	return newRoute(name, j)
}

func defaultRouteJSON() routeJSON {
	return routeJSON{
		PathPrefix: "/",
		Methods:    []string{},
		Rank:       DefaultRankName,
		Timeout:    jsonDuration(defaultRouteTimeout),
	}
}

func parseRoute(name string, text []byte) (Resource, error) {
	j := defaultRouteJSON()
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	return newRoute(name, j)
}

func newRoute(name string, j routeJSON) (Route, error) {
	slices.Sort(j.Methods)
	slices.SortStableFunc(j.Split, func(a, b weightedServiceJSON) int { return strings.Compare(a.Service, b.Service) })
	slices.SortStableFunc(j.AccountRanks, func(a, b accountRankJSON) int { return cmp.Compare(a.Priority, b.Priority) })
	if j.Service == "" && len(j.Split) > 0 {
		j.Service = j.Split[0].Service
	}
	r := Route{
		host:                  j.Host,
		pathPrefix:            j.PathPrefix,
		methods:               j.Methods,
		service:               j.Service,
		policy:                j.Policy,
		rank:                  j.Rank,
		timeout:               time.Duration(j.Timeout),
		idempotent:            j.Idempotent,
		unsafe:                j.Unsafe,
		requireIdempotencyKey: j.RequireIdempotencyKey,
		allowAnonymous:        j.AllowAnonymous,
		accountRanks:          j.AccountRanks,
	}
	for _, s := range j.Split {
		r.split = append(r.split, WeightedService{service: s.Service, weight: s.Weight})
	}
	var err error
	r.baseResource, err = newBaseResource(name, j)
	return r, err
}

// Kind implements Resource.
func (r Route) Kind() Kind { return KindRoute }

// Host returns the host, or an empty string for every host.
func (r Route) Host() string { return r.host }

// PathPrefix returns the path prefix, which matches whole segments.
func (r Route) PathPrefix() string { return r.pathPrefix }

// Methods returns the methods, sorted, or an empty list for every method; it must not be modified.
func (r Route) Methods() []string { return r.methods }

// Service returns the name of the service, which gets all calls if there is no split.
func (r Route) Service() string { return r.service }

// Split returns the services among which the calls are split, sorted by name, or an empty list; it must not be
// modified.
func (r Route) Split() []WeightedService { return r.split }

// Services returns the sorted names of the services that may receive calls.
func (r Route) Services() []string {
	if len(r.split) == 0 {
		return []string{r.service}
	}
	names := make([]string, len(r.split))
	for i, s := range r.split {
		names[i] = s.service
	}
	return names
}

// PickService returns the name of the service for a call, given a random number in [0, 1).
func (r Route) PickService(random float64) string {
	total := 0
	for _, s := range r.split {
		total += s.weight
	}
	remaining := random * float64(total)
	for _, s := range r.split {
		remaining -= float64(s.weight)
		if remaining < 0 {
			return s.service
		}
	}
	return r.service
}

// Policy returns the name of the policy, or an empty string for DefaultPolicyName.
func (r Route) Policy() string { return r.policy }

// Rank returns the name of the rank of calls on this route.
func (r Route) Rank() string { return r.rank }

// Timeout returns the limit on the duration of a call.
func (r Route) Timeout() time.Duration { return r.timeout }

// Idempotent reports whether a request with the method may run more than once without harm. GET, HEAD and OPTIONS
// requests may unless the route is unsafe; others may only if the route is idempotent.
func (r Route) Idempotent(method string) bool {
	if r.unsafe {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return r.idempotent
	}
}

// RequireIdempotencyKey reports whether non-idempotent requests without an idempotency key are refused.
func (r Route) RequireIdempotencyKey() bool { return r.requireIdempotencyKey }

// AllowsAnonymous reports whether calls without a key are served while the configuration requires keys.
func (r Route) AllowsAnonymous() bool { return r.allowAnonymous }

// AccountRank returns the rank of calls of accounts with the priority, or an empty string if they get the route's rank.
func (r Route) AccountRank(priority int) string {
	for _, a := range r.accountRanks {
		if a.Priority == priority {
			return a.Rank
		}
	}
	return ""
}

// allowsMethod reports whether the route matches requests with the method.
func (r Route) allowsMethod(method string) bool {
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// overlaps reports whether some request matches both routes with the same precedence.
func (r Route) overlaps(other Route) bool {
	if r.host != other.host || r.pathPrefix != other.pathPrefix {
		return false
	}
	if len(r.methods) == 0 || len(other.methods) == 0 {
		// A route that lists a method takes precedence over a route for every method.
		return len(r.methods) == len(other.methods)
	}
	return slices.ContainsFunc(r.methods, other.allowsMethod)
}
