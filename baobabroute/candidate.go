package baobabroute

import "time"

// A Candidate is an endpoint of a service that a call can be sent to.
type Candidate struct {
	id            string
	address       string // Peer address of the endpoint's node.
	failureDomain string
	region        string
	slots         int       // At least 1.
	warmingSince  time.Time // Start time of the upstream; zero: warmed up.
}

// NewCandidate returns a candidate. A zero warmingSince means that the endpoint has warmed up. Slots below 1 count as 1.
func NewCandidate(id, address, failureDomain, region string, slots int, warmingSince time.Time) Candidate {
	return Candidate{
		id: id, address: address, failureDomain: failureDomain, region: region, slots: max(slots, 1),
		warmingSince: warmingSince,
	}
}

// ID returns the member id of the endpoint's node.
func (c Candidate) ID() string { return c.id }

// Address returns the peer address of the endpoint's node.
func (c Candidate) Address() string { return c.address }

// FailureDomain returns the failure domain of the endpoint's node.
func (c Candidate) FailureDomain() string { return c.failureDomain }

// Region returns the region of the endpoint's node.
func (c Candidate) Region() string { return c.region }

// Slots returns the announced number of calls that the upstream runs concurrently.
func (c Candidate) Slots() int { return c.slots }

// WarmingSince returns when the upstream started, or zero if it has warmed up.
func (c Candidate) WarmingSince() time.Time { return c.warmingSince }

// weight returns the fraction of choices in which the candidate takes part. It rises linearly from minWeight to 1 during
// the warm-up.
func (c *Candidate) weight(now time.Time, warmUp time.Duration) float64 {
	if c.warmingSince.IsZero() {
		return 1
	}
	age := now.Sub(c.warmingSince)
	if age >= warmUp {
		return 1
	}
	return minWeight + (1-minWeight)*float64(max(age, 0))/float64(warmUp)
}
