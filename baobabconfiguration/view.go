package baobabconfiguration

import (
	"net"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// A View is the part of a snapshot that one proxy gets. It is immutable and closed under reference: every
// service, policy and rank that one of its routes refers to is in it.
type View struct {
	version  Version
	labels   Labels
	routes   []Route   // Sorted by name.
	policies []Policy  // Sorted by name; those of routes and those of selectors.
	services []Service // Sorted by name.
	index    *routeIndex
}

// NewView returns the view of a proxy with the labels: the routes and policies of all matching selectors, and the
// services and policies that the routes refer to. It returns an error instead of a partial view.
func NewView(s *Snapshot, proxy Labels) (*View, error) {
	b := &viewBuilder{
		document: s.document,
		routes:   map[string]bool{},
		policies: map[string]Policy{},
		services: map[string]Service{},
	}
	v := &View{version: s.version, labels: proxy}
	for _, selector := range s.document.Selectors() {
		if !proxy.Contains(selector.match) {
			continue
		}
		if err := b.selector(selector); err != nil {
			return nil, newError("build view", ErrorReference, errors.Wrapf(err, "selector %s", selector.name))
		}
	}
	entries := make([]routeEntry, 0, len(b.routes))
	for _, name := range sortedKeys(b.routes) {
		e, err := b.route(name)
		if err != nil {
			return nil, newError("build view", ErrorReference, errors.Wrapf(err, "route %s", name))
		}
		entries = append(entries, e)
		v.routes = append(v.routes, e.route)
	}
	for _, name := range sortedKeys(b.policies) {
		v.policies = append(v.policies, b.policies[name])
	}
	for _, name := range sortedKeys(b.services) {
		v.services = append(v.services, b.services[name])
	}
	v.index = newRouteIndex(entries)
	return v, nil
}

// Version returns the version of the snapshot.
func (v *View) Version() Version { return v.version }

// Labels returns the labels of the proxy.
func (v *View) Labels() Labels { return v.labels }

// Routes returns the routes, sorted by name; they must not be changed.
func (v *View) Routes() []Route { return v.routes }

// Policies returns the policies, sorted by name; they must not be changed.
func (v *View) Policies() []Policy { return v.policies }

// Services returns the services, sorted by name; they must not be changed.
func (v *View) Services() []Service { return v.services }

// Match returns the route of a request and its policy, and whether there is one. A route for the exact host
// precedes one for every host, then the longest path prefix wins, then a route that lists the method precedes
// one for every method. A route that does not allow the method is passed over. The host may have a port. The
// path has no query; one with "." or ".." segments or an empty segment other than the last matches no route,
// because the upstream might read it as another path.
func (v *View) Match(host, method, path string) (Route, Policy, bool) {
	if !isCleanPath(path) {
		return Route{}, Policy{}, false
	}
	e := v.index.match(normalizeHost(host), path, method)
	if e == nil {
		return Route{}, Policy{}, false
	}
	return e.route, e.policy, true
}

// isCleanPath reports whether the path starts with a slash and has no dot segments and no repeated slashes.
func isCleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "//") {
		return false
	}
	if !strings.Contains(path, "/.") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// normalizeHost returns the host in small letters without port and final dot.
func normalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// viewBuilder collects the resources of a view.
type viewBuilder struct {
	document *Document
	routes   map[string]bool
	policies map[string]Policy
	services map[string]Service
}

func (b *viewBuilder) selector(s Selector) error {
	for _, name := range s.policies {
		if _, err := b.policy(name); err != nil {
			return err
		}
	}
	if s.selectsAllRoutes() {
		for _, r := range b.document.Routes() {
			b.routes[r.name] = true
		}
		return nil
	}
	for _, name := range s.routes {
		b.routes[name] = true
	}
	return nil
}

func (b *viewBuilder) route(name string) (routeEntry, error) {
	r, ok := b.document.Route(name)
	if !ok {
		return routeEntry{}, errors.New("does not exist")
	}
	for _, name := range r.Services() {
		if err := b.service(name); err != nil {
			return routeEntry{}, err
		}
	}
	p, err := b.policy(r.policy)
	if err != nil {
		return routeEntry{}, err
	}
	if _, ok := p.Rank(r.rank); !ok {
		return routeEntry{}, errors.Errorf("rank %q does not exist in policy %s", r.rank, p.name)
	}
	return routeEntry{route: r, policy: p}, nil
}

func (b *viewBuilder) service(name string) error {
	if _, ok := b.services[name]; ok {
		return nil
	}
	s, ok := b.document.Service(name)
	if !ok {
		return errors.Errorf("service %q does not exist", name)
	}
	b.services[name] = s
	return nil
}

func (b *viewBuilder) policy(name string) (Policy, error) {
	if name == "" {
		name = DefaultPolicyName
	}
	if p, ok := b.policies[name]; ok {
		return p, nil
	}
	p, ok := b.document.Policy(name)
	if !ok {
		return Policy{}, errors.Errorf("policy %q does not exist", name)
	}
	b.policies[name] = p
	return p, nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
