package baobaboperator

// NodeView is what one node has in force. All lists are sorted by name. It is a wire format.
type NodeView struct {
	Node          string      `json:"node"`
	FailureDomain string      `json:"failure_domain"`
	Ready         bool        `json:"ready"` // Whether the node was serving when the version was read.
	Version       Version     `json:"version"`
	Highest       uint64      `json:"highest"` // The highest version number known to the node.
	Members       int         `json:"members"` // Live members known to the node, including itself.
	Routes        []RouteView `json:"routes"`
	Services      []string    `json:"services"`
	Policies      []string    `json:"policies"`
	Rejected      Version     `json:"rejected"` // Number 0 if none since the version in force changed.
	Reason        string      `json:"reason"`   // Why it was rejected.
}

// RouteView is a route and the resources that it refers to.
type RouteView struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Policy  string `json:"policy"`
}

// Route returns the route with the name, and whether the node has it.
func (v NodeView) Route(name string) (RouteView, bool) {
	for _, r := range v.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return RouteView{}, false
}
