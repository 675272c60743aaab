package baobabconfiguration

import (
	"net"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// A View is the part of a snapshot that a single proxy receives. It is immutable and self-contained: it includes every
// service, policy and rank that its routes refer to, and all accounts.
type View struct {
	version  Version
	labels   Labels
	routes   []Route   // Sorted by name.
	policies []Policy  // Sorted by name; those of the routes and those of the selectors.
	services []Service // Sorted by name.
	accounts []Account // Sorted by name; all of the snapshot.
	keys     bool      // Routes require keys; always if there is an account.
	index    *routeIndex
}

// NewView returns the view for a proxy with the labels: the routes and policies of all matching selectors, and the
// services and policies that these routes refer to. It never returns a partial view: a missing resource is an error.
func NewView(s *Snapshot, proxy Labels) (*View, error) {
	b := &viewBuilder{
		document:   s.document,
		routeNames: map[string]bool{},
		policies:   map[string]Policy{},
		services:   map[string]Service{},
	}
	v := &View{version: s.version, labels: proxy, accounts: s.document.Accounts(), keys: s.document.RequiresKeys()}
	for _, selector := range s.document.Selectors() {
		if !proxy.Contains(selector.match) {
			continue
		}
		if err := b.addSelector(selector); err != nil {
			return nil, newError("build view", ErrorReference, errors.Wrapf(err, "selector %s", selector.name))
		}
	}
	entries := make([]routeEntry, 0, len(b.routeNames))
	for _, name := range sortedKeys(b.routeNames) {
		e, err := b.addRoute(name)
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

// Routes returns the routes, sorted by name; they must not be modified.
func (v *View) Routes() []Route { return v.routes }

// Policies returns the policies, sorted by name; they must not be modified.
func (v *View) Policies() []Policy { return v.policies }

// Services returns the services, sorted by name; they must not be modified.
func (v *View) Services() []Service { return v.services }

// Accounts returns the accounts, sorted by name; they must not be modified.
func (v *View) Accounts() []Account { return v.accounts }

// RequiresKeys reports whether routes that do not allow anonymous calls require the key of an account. There may be no
// account; then no call has a valid key.
func (v *View) RequiresKeys() bool { return v.keys }

// Match returns the route of a request and its policy, and whether there is one. A route for the exact host takes
// precedence over one for every host, then the longest path prefix wins, then a route that lists the method takes
// precedence over one for every method. Routes that do not allow the method are skipped. The host may include a port.
// The path must not include a query. A path with "." or ".." segments, or with an empty segment other than the last,
// matches no route, because the upstream might interpret it as a different path.
func (v *View) Match(host, method, path string) (Route, Policy, bool) {
	if !isCleanPath(path) {
		return Route{}, Policy{}, false
	}
	e := v.index.match(NormalizeHost(host), path, method)
	if e == nil {
		return Route{}, Policy{}, false
	}
	return e.route, e.policy, true
}

// isCleanPath reports whether the path starts with a slash and has neither dot segments nor repeated slashes.
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

// NormalizeHost returns the host in lower case, without port and trailing dot.
func NormalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// viewBuilder collects the resources of a view by name.
type viewBuilder struct {
	document   *Document
	routeNames map[string]bool
	policies   map[string]Policy
	services   map[string]Service
}

func (b *viewBuilder) addSelector(s Selector) error {
	for _, name := range s.policies {
		if _, err := b.addPolicy(name); err != nil {
			return err
		}
	}
	if s.selectsAllRoutes() {
		for _, r := range b.document.Routes() {
			b.routeNames[r.name] = true
		}
		return nil
	}
	for _, name := range s.routes {
		b.routeNames[name] = true
	}
	return nil
}

func (b *viewBuilder) addRoute(name string) (routeEntry, error) {
	r, ok := b.document.Route(name)
	if !ok {
		return routeEntry{}, errors.New("does not exist")
	}
	for _, name := range r.Services() {
		if err := b.addService(name); err != nil {
			return routeEntry{}, err
		}
	}
	p, err := b.addPolicy(r.policy)
	if err != nil {
		return routeEntry{}, err
	}
	if _, ok := p.Rank(r.rank); !ok {
		return routeEntry{}, errors.Errorf("rank %q does not exist in policy %s", r.rank, p.name)
	}
	for _, a := range r.accountRanks {
		if _, ok := p.Rank(a.Rank); !ok {
			return routeEntry{}, errors.Errorf("rank %q does not exist in policy %s", a.Rank, p.name)
		}
	}
	return routeEntry{route: r, policy: p}, nil
}

func (b *viewBuilder) addService(name string) error {
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

func (b *viewBuilder) addPolicy(name string) (Policy, error) {
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
