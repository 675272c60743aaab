package baobabroute

// CrossingReason is the reason why a call is sent to another failure domain. Each has a counter.
type CrossingReason string

// Crossing reasons, sorted.
const (
	CrossingFreeSlot   CrossingReason = "free_slot"   // Asked for a free slot while the own failure domain is overloaded.
	CrossingNoEndpoint CrossingReason = "no_endpoint" // No usable endpoint in the own failure domain.
	CrossingOverloaded CrossingReason = "overloaded"  // Queues there because the own failure domain is overloaded or failing.
	CrossingRefused    CrossingReason = "refused"     // Refused before for lack of room.
	CrossingRetry      CrossingReason = "retry"       // Failed or was lost before.
)

// CrossingReasons returns all crossing reasons, sorted.
func CrossingReasons() []CrossingReason {
	return []CrossingReason{CrossingFreeSlot, CrossingNoEndpoint, CrossingOverloaded, CrossingRefused, CrossingRetry}
}

// CrossingTier is how far a call goes when it leaves its failure domain.
type CrossingTier string

// Crossing tiers, sorted.
const (
	CrossingDomain CrossingTier = "domain" // To another failure domain of the region.
	CrossingRegion CrossingTier = "region" // To another region.
)

// CrossingTiers returns all crossing tiers, sorted.
func CrossingTiers() []CrossingTier { return []CrossingTier{CrossingDomain, CrossingRegion} }

// Crossing returns how far an offer leaves the failure domain and why. It returns false if it stays.
func (p *OfferPlan) Crossing(o Offer) (CrossingTier, CrossingReason, bool) {
	tier := CrossingDomain
	switch p.set.tierOf(o.candidate) {
	case tierSameDomain:
		return "", "", false
	case tierOther:
		tier = CrossingRegion
	}
	switch {
	case len(p.set.tiers[tierSameDomain]) == 0:
		return tier, CrossingNoEndpoint, true
	case p.failed:
		return tier, CrossingRetry, true
	case p.refused:
		return tier, CrossingRefused, true
	case o.freeSlotOnly:
		return tier, CrossingFreeSlot, true
	default:
		return tier, CrossingOverloaded, true
	}
}
