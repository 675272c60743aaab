package baobaboperator

import "time"

// A NodeReport is what one node reports for the status, or why it could not be asked.
type NodeReport struct {
	ID             string
	FailureDomain  string
	State          string  // Member state: alive, suspect, dead or left.
	Version        Version // In force.
	InForce        time.Duration
	Rejected       Version // Number 0 when no version was rejected since the last swap.
	RejectedReason string
	RejectedAge    time.Duration
	Service        string // Empty when the node has no upstream.
	Upstream       string
	EndpointState  string // warming, ready, draining or failed.
	Refusals       map[string]uint64
	Retries        map[string]uint64
	Unreachable    string // Why the node could not be asked; empty when it answered.
}

// gone reports whether the node has left the mesh, so that it is not expected to have any version.
func (r NodeReport) gone() bool { return r.State == "dead" || r.State == "left" }

// answered reports whether the report comes from the node itself.
func (r NodeReport) answered() bool { return r.Unreachable == "" && !r.gone() }
