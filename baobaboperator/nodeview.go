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
	Accounts      int         `json:"accounts"`        // Number of client accounts.
	Proof         *ProofView  `json:"proof,omitempty"` // Nil where keys need no proof.
	Rejected      Version     `json:"rejected"`        // Number 0 if none since the version in force changed.
	Reason        string      `json:"reason"`          // Why it was rejected.
}

// ProofView is the newest proof of a node that keys are current.
type ProofView struct {
	Valid      bool    `json:"valid"`  // Whether requests with keys are served.
	Number     uint64  `json:"number"` // Version that was the newest; 0 if there is no proof. A node needs that version in force.
	AgeSeconds float64 `json:"age_s"`
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
