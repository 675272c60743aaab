package baobaboperator

import "time"

// A NodeReport is the status of one node, or the reason why the node could not be queried.
type NodeReport struct {
	ID                string
	FailureDomain     string
	State             string        // Member state: alive, suspect, dead or left.
	Version           Version       // In force.
	VersionAge        time.Duration // Since Version took effect.
	Rejected          Version       // Number 0 when no version was rejected since Version took effect.
	RejectedReason    string
	RejectedAge       time.Duration
	Service           string // Empty when the node has no upstream.
	Upstream          string
	EndpointState     string // warming, ready, draining or failed.
	Refusals          map[string]uint64
	Retries           map[string]uint64
	UnreachableReason string // Why the node could not be queried; empty when it responded.
}

// departed reports whether the node is no longer in the mesh, so that no version is expected of it.
func (r NodeReport) departed() bool { return r.State == "dead" || r.State == "left" }

// responded reports whether the report comes from the node itself.
func (r NodeReport) responded() bool { return r.UnreachableReason == "" && !r.departed() }
