package baobabnode

import (
	"math/rand/v2"
	"time"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// rolloutViewTime is how long a view is used without a change of the endpoints or of the stage.
const rolloutViewTime = time.Second

// A rolloutView holds the endpoints of one service by version, as of one stage. It is immutable.
type rolloutView struct {
	set        *route.CandidateSet // From which the view was built; nil if the service had no endpoint.
	generation uint64              // Of the controller's knowledge.
	expires    time.Time
	stage      rollout.Stage
	baseline   *route.CandidateSet // The set itself while all its endpoints have the baseline.
	target     *route.CandidateSet // Endpoints of the target that may get requests; nil without any.
	share      float64             // Of the requests for the target, no more than it has room for.
}

// newRolloutView sorts the endpoints of a service by the version that its upstreams state.
func newRolloutView(now time.Time, generation uint64, set *route.CandidateSet, stage rollout.Stage, versions map[string]string,
	self membership.Member) *rolloutView {
	v := &rolloutView{set: set, generation: generation, stage: stage, expires: now.Add(rolloutViewTime)}
	if until := stage.Until(); !until.IsZero() {
		v.expires = earlierOf(v.expires, until)
	}
	if set == nil {
		return v
	}
	var old, moved []route.Candidate
	var canaries []rollout.Canary
	oldSlots, movedSlots := 0, 0
	for _, c := range set.Candidates() {
		version := versions[c.ID()]
		switch {
		case stage.IsBaseline(version):
			old = append(old, c)
			oldSlots += c.Slots()
		case stage.Allows(version):
			moved = append(moved, c)
			movedSlots += c.Slots()
			canaries = append(canaries, rollout.Canary{ID: c.ID(), FailureDomain: c.FailureDomain()})
		}
	}
	v.baseline = set
	if len(old) < set.Len() {
		v.baseline = route.NewCandidateSet(set.Service(), self.FailureDomain(), self.Region(), old)
	}
	if len(moved) == 0 {
		return v
	}
	chosen := rollout.Canaries(canaries, stage.Share())
	var targets []route.Candidate
	for _, c := range moved {
		if chosen[c.ID()] {
			targets = append(targets, c)
		}
	}
	v.target = route.NewCandidateSet(set.Service(), self.FailureDomain(), self.Region(), targets)
	v.share = stage.Share()
	if v.share < 1 {
		v.share = min(v.share, float64(movedSlots)/float64(movedSlots+oldSlots))
	}
	return v
}

// valid reports whether the view still describes the endpoints and the knowledge.
func (v *rolloutView) valid(now time.Time, set *route.CandidateSet, generation uint64) bool {
	return v.set == set && v.generation == generation && now.Before(v.expires)
}

// choose returns the endpoints for one request, and the version that their upstreams must have (empty: any).
func (v *rolloutView) choose(random *rand.Rand) (*route.CandidateSet, string) {
	if v.target != nil && (v.share == 1 || random.Float64() < v.share) {
		return v.target, v.stage.Target()
	}
	return v.baseline, v.stage.Baseline()
}
