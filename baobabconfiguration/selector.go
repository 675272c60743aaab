package baobabconfiguration

import "slices"

// allRoutes in a selector's routes stands for every route of the document.
const allRoutes = "*"

// A Selector gives routes and policies to the proxies whose labels match.
type Selector struct {
	identity
	match    Labels
	routes   []string // Sorted names, or only "*".
	policies []string // Sorted names.
}

type selectorJSON struct {
	Match    map[string]string `json:"match"`
	Routes   []string          `json:"routes"`
	Policies []string          `json:"policies"`
}

func parseSelector(name string, text []byte) (Resource, error) {
	j := selectorJSON{Match: map[string]string{}, Routes: []string{}, Policies: []string{}}
	if err := decodeFields(text, &j); err != nil {
		return nil, err
	}
	slices.Sort(j.Routes)
	slices.Sort(j.Policies)
	s := Selector{match: NewLabels(j.Match), routes: j.Routes, policies: j.Policies}
	var err error
	s.identity, err = newIdentity(name, j)
	return s, err
}

// Kind implements Resource.
func (s Selector) Kind() Kind { return KindSelector }

// Match returns the labels that a proxy must have; empty labels match every proxy.
func (s Selector) Match() Labels { return s.match }

// Routes returns the names of the routes, sorted, or only "*" for every route; it must not be changed.
func (s Selector) Routes() []string { return s.routes }

// Policies returns the names of the policies, sorted; it must not be changed.
func (s Selector) Policies() []string { return s.policies }

// selectsAllRoutes reports whether the routes are "*".
func (s Selector) selectsAllRoutes() bool { return len(s.routes) == 1 && s.routes[0] == allRoutes }
