package baobaboperator

// NodeView is what one node has in force. All lists are sorted by name. It is a wire format.
type NodeView struct {
	Node          string      `json:"node"`
	FailureDomain string      `json:"failure_domain"`
	Ready         bool        `json:"ready"` // Whether the node served when the version was read.
	Version       Version     `json:"version"`
	Highest       uint64      `json:"highest"` // The highest version number that the node has heard of.
	Members       int         `json:"members"` // Live members that the node knows, with itself.
	Routes        []RouteView `json:"routes"`
	Services      []string    `json:"services"`
	Policies      []string    `json:"policies"`
	Rejected      Version     `json:"rejected"` // Number 0 when no version was rejected since the last swap.
	Reason        string      `json:"reason"`   // Of the rejection.
}

// RouteView is a route and the resources that it refers to.
type RouteView struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Policy  string `json:"policy"`
}

// Route returns the route with a name, and whether the node has it.
func (v NodeView) Route(name string) (RouteView, bool) {
	for _, r := range v.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return RouteView{}, false
}
