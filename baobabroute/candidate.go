package baobabroute

import "time"

// A Candidate is an endpoint that offers a service.
type Candidate struct {
	id            string
	address       string // Of the node's peer link.
	failureDomain string
	region        string
	slots         int       // At least 1.
	warmingSince  time.Time // Start of the upstream; zero: warm.
}

// NewCandidate returns a candidate. A zero warmingSince means that the endpoint is warm.
func NewCandidate(id, address, failureDomain, region string, slots int, warmingSince time.Time) Candidate {
	return Candidate{
		id: id, address: address, failureDomain: failureDomain, region: region, slots: max(slots, 1),
		warmingSince: warmingSince,
	}
}

// ID returns the member id of the endpoint's node.
func (c Candidate) ID() string { return c.id }

// Address returns the address of the node's peer link.
func (c Candidate) Address() string { return c.address }

// FailureDomain returns the failure domain.
func (c Candidate) FailureDomain() string { return c.failureDomain }

// Region returns the region.
func (c Candidate) Region() string { return c.region }

// Slots returns the announced number of calls that run at the same time.
func (c Candidate) Slots() int { return c.slots }

// WarmingSince returns when the upstream started, or zero when it is warm.
func (c Candidate) WarmingSince() time.Time { return c.warmingSince }

// weight returns the share of choices in which the candidate takes part: from minWeight to 1 during warmTime.
func (c Candidate) weight(now time.Time, warmTime time.Duration) float64 {
	if c.warmingSince.IsZero() {
		return 1
	}
	age := now.Sub(c.warmingSince)
	if age >= warmTime {
		return 1
	}
	return minWeight + (1-minWeight)*float64(max(age, 0))/float64(warmTime)
}
