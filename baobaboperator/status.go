package baobaboperator

import "time"

// Status is the state of the mesh as one node sees it. All lists are sorted. It is a wire format.
type Status struct {
	Node           string              `json:"node"`    // The node that queried the others.
	Time           time.Time           `json:"time"`    // When it queried them.
	Version        Version             `json:"version"` // The newest known version.
	FailureDomains []FailureDomain     `json:"failure_domains"`
	Rejections     []Rejection         `json:"rejections"`
	Members        []MemberStateCount  `json:"members"`
	Draining       []DrainingEndpoint  `json:"draining"`
	Refusals       []ReasonCount       `json:"refusals"`
	Retries        []ReasonCount       `json:"retries"`
	Unreachable    []UnreachableMember `json:"unreachable"`
}

// FailureDomain is the progress of a failure domain towards the newest version.
type FailureDomain struct {
	Name      string         `json:"name"`
	Nodes     int            `json:"nodes"`      // Without members that are dead or left.
	AtVersion int            `json:"at_version"` // Nodes that have the newest version in force.
	Versions  []VersionCount `json:"versions"`   // Of the nodes that responded, newest first.
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

// Rejection is a version that a node rejected.
type Rejection struct {
	Node          string    `json:"node"`
	FailureDomain string    `json:"failure_domain"`
	Version       Version   `json:"version"`
	Reason        string    `json:"reason"`
	Time          time.Time `json:"time"`
}

// MemberStateCount is the number of members in a membership state.
type MemberStateCount struct {
	State   string   `json:"state"`
	Count   int      `json:"count"`
	Members []string `json:"members,omitempty"` // Not listed for the state alive.
}

// DrainingEndpoint is an upstream that receives no new calls.
type DrainingEndpoint struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	Upstream      string `json:"upstream"`
}

// ReasonCount is a count by reason, summed over the nodes that responded.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// UnreachableMember is a member that did not respond.
type UnreachableMember struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Reason        string `json:"reason"`
}

// InForceEverywhere reports whether every node is known to have the numbered version or a newer one in force.
func (s Status) InForceEverywhere(number uint64) bool {
	if len(s.Unreachable) > 0 || len(s.FailureDomains) == 0 {
		return false
	}
	updated, total := s.Progress(number)
	return updated == total
}

// Progress returns the number of nodes that have the numbered version or a newer one in force, and the number of all
// nodes.
func (s Status) Progress(number uint64) (updated, total int) {
	for _, d := range s.FailureDomains {
		total += d.Nodes
		for _, v := range d.Versions {
			if v.Version.Number >= number {
				updated += v.Nodes
			}
		}
	}
	return updated, total
}
