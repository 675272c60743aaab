package baobaboperator

import "time"

// Status is the state of the mesh as one node sees it. All lists are sorted. It is a wire format.
type Status struct {
	Node           string              `json:"node"`    // The node that asked the others.
	Time           time.Time           `json:"time"`    // When it asked.
	Version        Version             `json:"version"` // The newest version that is known.
	FailureDomains []FailureDomain     `json:"failure_domains"`
	Rejections     []Rejection         `json:"rejections"`
	Members        []MemberState       `json:"members"`
	Draining       []DrainingEndpoint  `json:"draining"`
	Refusals       []ReasonCount       `json:"refusals"`
	Retries        []ReasonCount       `json:"retries"`
	Unreachable    []UnreachableMember `json:"unreachable"`
}

// FailureDomain says how far a failure domain is.
type FailureDomain struct {
	Name      string         `json:"name"`
	Nodes     int            `json:"nodes"`      // Without dead members and members that left.
	AtVersion int            `json:"at_version"` // Nodes that have the newest version in force.
	Versions  []VersionCount `json:"versions"`   // Of the nodes that answered, newest first.
	Behind    []BehindNode   `json:"behind"`
}

// VersionCount is the number of nodes that have a version in force.
type VersionCount struct {
	Version Version `json:"version"`
	Nodes   int     `json:"nodes"`
}

// BehindNode is a node that does not have the newest version in force.
type BehindNode struct {
	Node    string     `json:"node"`
	Version Version    `json:"version"`
	Reason  string     `json:"reason"`
	Since   *time.Time `json:"since,omitempty"` // When its version took effect, or when it rejected the newest one.
}

// Rejection is a version that a node did not put in force.
type Rejection struct {
	Node          string    `json:"node"`
	FailureDomain string    `json:"failure_domain"`
	Version       Version   `json:"version"`
	Reason        string    `json:"reason"`
	Time          time.Time `json:"time"`
}

// MemberState is the number of members in a state.
type MemberState struct {
	State   string   `json:"state"`
	Count   int      `json:"count"`
	Members []string `json:"members,omitempty"` // Not listed for the state alive.
}

// DrainingEndpoint is an upstream that gets no new work.
type DrainingEndpoint struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	Upstream      string `json:"upstream"`
}

// ReasonCount is a count summed over the nodes that answered.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// UnreachableMember is a member that did not answer.
type UnreachableMember struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Reason        string `json:"reason"`
}

// InForce reports whether every node has version number or a newer one in force.
func (s Status) InForce(number uint64) bool {
	if len(s.Unreachable) > 0 || len(s.FailureDomains) == 0 {
		return false
	}
	have, want := s.Progress(number)
	return have == want
}

// Progress returns the number of nodes that have version number or a newer one in force, and of all nodes.
func (s Status) Progress(number uint64) (have, want int) {
	for _, d := range s.FailureDomains {
		want += d.Nodes
		for _, v := range d.Versions {
			if v.Version.Number >= number {
				have += v.Nodes
			}
		}
	}
	return have, want
}
