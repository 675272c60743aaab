package baobabroute

import "time"

// Distances are the times that a call must save by leaving its failure domain. They are at least the round-trip times;
// where bytes over a distance are expensive, they are larger.
type Distances struct {
	domain time.Duration // To other failure domains of the region.
	region time.Duration // To other regions.
}

// NewDistances returns the times that a call must save by going to another failure domain and to another region.
func NewDistances(domain, region time.Duration) Distances {
	return Distances{domain: max(domain, 0), region: max(region, domain, 0)}
}

// isZero reports whether leaving is not limited.
func (d Distances) isZero() bool { return d.region == 0 }

// to returns the distance to a tier.
func (d Distances) to(tier int) time.Duration {
	switch tier {
	case tierSameDomain:
		return 0
	case tierSameRegion:
		return d.domain
	default:
		return d.region
	}
}
