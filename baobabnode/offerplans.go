package baobabnode

import (
	"math/rand/v2"

	route "github.com/baobabdale/baobabdale/baobabroute"
	settings "github.com/baobabdale/baobabdale/baobabsettings"
)

// newChooser returns the chooser of a node with the given settings.
func newChooser(stats *route.EndpointStats, s *settings.Settings) *route.Chooser {
	b := s.Balance()
	options := []route.ChooserOption{
		route.WithWarmUp(s.Upstream().WarmUp()),
		route.WithDistances(route.NewDistances(b.LeaveDomainSaving(), b.LeaveRegionSaving())),
	}
	if b.Rates() {
		options = append(options, route.WithRates())
	}
	return route.NewChooser(stats, options...)
}

// newPlan returns the plan of a call.
func (g *Ingress) newPlan(random *rand.Rand, r *routedCall) *route.OfferPlan {
	plan := g.chooser.NewOfferPlan(random, r.candidates)
	plan.SetObjective(r.request.objective)
	if g.peerClient.needsGrant(r.request) && !r.request.needsClaim() {
		plan.AskFirst(g.self)
	}
	return plan
}

// unsentBytes is how many bytes of a link wait in the buffer of the operating system where large bodies are limited: two
// parts of a body.
const unsentBytes = 2 * bodyChunkBytes

// maxUnsentBytes returns the limit for a node with the given settings, or zero for none.
func maxUnsentBytes(b settings.Balance) int {
	if b.GrantBodySize() == 0 {
		return 0
	}
	return unsentBytes
}
