package baobabquota

import "math"

// A Limit is the limit of an account over all nodes together.
type Limit struct {
	rate  float64 // Requests per second; above 0.
	burst float64 // Requests beyond the rate; at least 1.
}

// NewLimit returns a limit of a rate in requests per second and a burst in requests. A burst below one request counts as one.
func NewLimit(ratePerSecond, burst float64) Limit {
	return Limit{rate: ratePerSecond, burst: max(burst, 1)}
}

// Rate returns the rate in requests per second.
func (l Limit) Rate() float64 { return l.rate }

// withoutGrant returns what one node may admit before the coordinator has answered: an equal share of the rate until then,
// and the usual deviation of random arrivals.
func (l Limit) withoutGrant(t Topology) float64 {
	equal := l.equalShare(t)
	return max(openRequests, equal+2*math.Sqrt(equal)+1)
}

// equalShare returns the part of the rate that one of all nodes uses until the coordinator has answered.
func (l Limit) equalShare(t Topology) float64 { return l.rate * lookAhead.Seconds() / float64(t.known) }

// Burst returns the number of requests beyond the rate.
func (l Limit) Burst() float64 { return l.burst }
