package baobabconfiguration

import "slices"

// allRoutes in the routes of a selector selects every route of the document.
const allRoutes = "*"

// A Selector assigns routes and policies to the proxies whose labels match.
type Selector struct {
	baseResource
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
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	slices.Sort(j.Routes)
	slices.Sort(j.Policies)
	s := Selector{match: NewLabels(j.Match), routes: j.Routes, policies: j.Policies}
	var err error
	s.baseResource, err = newBaseResource(name, j)
	return s, err
}

// Kind implements Resource.
func (s Selector) Kind() Kind { return KindSelector }

// Match returns the labels that a proxy must have; empty labels match every proxy.
func (s Selector) Match() Labels { return s.match }

// Routes returns the names of the routes, sorted, or only "*" for every route; it must not be modified.
func (s Selector) Routes() []string { return s.routes }

// Policies returns the names of the policies, sorted; it must not be modified.
func (s Selector) Policies() []string { return s.policies }

// selectsAllRoutes reports whether the selector selects every route of the document.
func (s Selector) selectsAllRoutes() bool { return len(s.routes) == 1 && s.routes[0] == allRoutes }
