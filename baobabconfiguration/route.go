package baobabconfiguration

import (
	"net/http"
	"slices"
	"time"
)

const defaultRouteTimeout = 5 * time.Second

// A Route sends the requests for a host, a path prefix and methods to a service.
type Route struct {
	identity
	host                  string   // Small letters, without port; empty matches every host.
	pathPrefix            string   // Whole segments, so "/a" matches "/a" and "/a/b" but not "/ab".
	methods               []string // Sorted; empty matches every method.
	service               string
	policy                string // Empty means DefaultPolicyName.
	rank                  string
	timeout               time.Duration
	idempotent            bool
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
}

func parseRoute(name string, text []byte) (Resource, error) {
	j := routeJSON{PathPrefix: "/", Methods: []string{}, Rank: DefaultRankName, Timeout: durationText(defaultRouteTimeout)}
	if err := decodeFields(text, &j); err != nil {
		return nil, err
	}
	slices.Sort(j.Methods)
	r := Route{
		host:                  j.Host,
		pathPrefix:            j.PathPrefix,
		methods:               j.Methods,
		service:               j.Service,
		policy:                j.Policy,
		rank:                  j.Rank,
		timeout:               time.Duration(j.Timeout),
		idempotent:            j.Idempotent,
		requireIdempotencyKey: j.RequireIdempotencyKey,
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

// Policy returns the name of the policy, or an empty string for DefaultPolicyName.
func (r Route) Policy() string { return r.policy }

// Rank returns the name of the rank of calls on this route.
func (r Route) Rank() string { return r.rank }

// Timeout returns the limit on the duration of a call.
func (r Route) Timeout() time.Duration { return r.timeout }

// Idempotent reports whether a request with the method may run more than once without harm. GET, HEAD and
// OPTIONS always may; other methods only if the route says so.
func (r Route) Idempotent(method string) bool {
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
