package baobabconfiguration

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

const defaultRouteTimeout = 5 * time.Second

// A Route sends the requests for a host, a path prefix and methods to a service.
type Route struct {
	identity
	host string // Small letters, without port; empty matches every host.
	// pathPrefix has whole segments, so "/a" matches "/a" and "/a/b" but not "/ab"; "/a/" matches "/a/b" and not "/a".
	pathPrefix            string
	methods               []string // Sorted; empty matches every method.
	service               string
	split                 []Share // Sorted by service; empty, or the shares of the calls that each service gets.
	policy                string  // Empty means DefaultPolicyName.
	rank                  string
	timeout               time.Duration
	idempotent            bool
	unsafe                bool // No method may run more than once; excludes idempotent.
	requireIdempotencyKey bool
}

type routeJSON struct {
	Host                  string       `json:"host"`
	PathPrefix            string       `json:"path_prefix"`
	Methods               []string     `json:"methods"`
	Service               string       `json:"service"`
	Policy                string       `json:"policy"`
	Rank                  string       `json:"rank"`
	Timeout               durationText `json:"timeout"`
	Idempotent            bool         `json:"idempotent"`
	RequireIdempotencyKey bool         `json:"require_idempotency_key"`
	Split                 []shareJSON  `json:"split,omitempty"`
	Unsafe                bool         `json:"unsafe,omitempty"`
}

// RouteOption sets an optional property of a route.
type RouteOption func(*routeJSON)

// WithRouteIdempotent says that a request may run more than once whatever its method.
func WithRouteIdempotent() RouteOption { return func(j *routeJSON) { j.Idempotent = true } }

// WithRoutePolicy sets the policy and the rank within it.
func WithRoutePolicy(policy, rank string) RouteOption {
	return func(j *routeJSON) { j.Policy, j.Rank = policy, rank }
}

// WithRouteSplit divides the calls among services by weight. The route's service is the first of them by name.
func WithRouteSplit(weights map[string]int) RouteOption {
	return func(j *routeJSON) {
		for service, weight := range weights {
			j.Split = append(j.Split, shareJSON{Service: service, Weight: weight})
		}
	}
}

// WithRouteTimeout sets the limit on the duration of a call.
func WithRouteTimeout(d time.Duration) RouteOption {
	return func(j *routeJSON) { j.Timeout = durationText(d) }
}

// WithRouteUnsafe says that a request may run at most once whatever its method.
func WithRouteUnsafe() RouteOption { return func(j *routeJSON) { j.Unsafe = true } }

// NewRoute returns a route as ParseResource would.
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
	return routeJSON{PathPrefix: "/", Methods: []string{}, Rank: DefaultRankName, Timeout: durationText(defaultRouteTimeout)}
}

func parseRoute(name string, text []byte) (Resource, error) {
	j := defaultRouteJSON()
	if err := decodeFields(text, &j); err != nil {
		return nil, err
	}
	return newRoute(name, j)
}

func newRoute(name string, j routeJSON) (Route, error) {
	slices.Sort(j.Methods)
	slices.SortStableFunc(j.Split, func(a, b shareJSON) int { return strings.Compare(a.Service, b.Service) })
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
	}
	for _, v := range j.Split {
		r.split = append(r.split, Share{service: v.Service, weight: v.Weight})
	}
	var err error
	r.identity, err = newIdentity(name, j)
	return r, err
}

// Kind implements Resource.
func (r Route) Kind() Kind { return KindRoute }

// Host returns the host, or an empty string for every host.
func (r Route) Host() string { return r.host }

// PathPrefix returns the path prefix, which consists of whole segments.
func (r Route) PathPrefix() string { return r.pathPrefix }

// Methods returns the methods, sorted, or an empty list for every method; it must not be changed.
func (r Route) Methods() []string { return r.methods }

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// Split returns the shares of the services among which the calls are divided, sorted by service, or an empty list; it
// must not be changed.
func (r Route) Split() []Share { return r.split }

// Services returns the names of the services that may get calls, sorted.
func (r Route) Services() []string {
	if len(r.split) == 0 {
		return []string{r.service}
	}
	names := make([]string, len(r.split))
	for i, v := range r.split {
		names[i] = v.service
	}
	return names
}

// Target returns the service of a call, given a number from 0 to below 1 that was drawn for it.
func (r Route) Target(draw float64) string {
	total := 0
	for _, v := range r.split {
		total += v.weight
	}
	left := draw * float64(total)
	for _, v := range r.split {
		left -= float64(v.weight)
		if left < 0 {
			return v.service
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

// Idempotent reports whether a request with the method may run more than once without harm. GET, HEAD and
// OPTIONS may unless the route says that nothing may; other methods only if the route says so.
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

// RequireIdempotencyKey reports whether non-idempotent requests without a key are refused.
func (r Route) RequireIdempotencyKey() bool { return r.requireIdempotencyKey }

// allows reports whether the route matches the method.
func (r Route) allows(method string) bool {
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// overlaps reports whether two routes match the same requests with the same precedence.
func (r Route) overlaps(other Route) bool {
	if r.host != other.host || r.pathPrefix != other.pathPrefix {
		return false
	}
	if len(r.methods) == 0 || len(other.methods) == 0 {
		// A route that lists the method precedes one for every method.
		return len(r.methods) == len(other.methods)
	}
	return slices.ContainsFunc(r.methods, other.allows)
}
