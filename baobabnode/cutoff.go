package baobabnode

import (
	"context"
	"math/rand/v2"
	"slices"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
)

// cutOffProbes is how many members of other failure domains a node probes when it may be cut off.
const cutOffProbes = 4

// updateCutOff records whether this node is probably cut off from most others. While most of the members that it probes in
// its failure domain answer, it is not. Otherwise they may have died together, so members of other domains are probed, too:
// what a node knows of them comes from its own domain and says nothing any more.
func (c *membershipController) updateCutOff(ctx context.Context, probed, unanswered int) {
	cutOff := false
	if probed == 0 || 2*unanswered > probed {
		reachable, others := c.reachesOtherDomain(ctx)
		cutOff = others > 0 && !reachable || others == 0 && probed > 0
	}
	if ctx.Err() == nil && c.cutOff.Swap(cutOff) != cutOff {
		c.logger.Warn("reachability of other nodes changed", "cut_off", cutOff, "probed", probed, "unanswered", unanswered)
	}
}

// reachesOtherDomain probes random members of other failure domains. It reports whether any of them answers, and how many
// were probed.
func (c *membershipController) reachesOtherDomain(ctx context.Context) (reachable bool, probed int) {
	own := c.members.selfRecord().FailureDomain()
	others := slices.DeleteFunc(c.members.liveMembers(), func(m membership.Member) bool { return m.FailureDomain() == own })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(cutOffProbes, len(others))]
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() { answers <- c.probe(ctx, m) }()
	}
	for range others {
		reachable = <-answers || reachable
	}
	return reachable, len(others)
}
