package baobabnode

import (
	"context"
	"math/rand/v2"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
	route "github.com/baobabdale/baobabdale/baobabroute"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// A rolloutController keeps each service on the versions that its roll-outs allow.
type rolloutController struct{}

// run follows orders and decides stages until ctx ends.
func (c *rolloutController) run(context.Context) error { return nil }

// candidates returns the endpoints that a call may use, and the version that their upstreams must have (empty: any). It
// returns set itself while the service has only one version.
func (c *rolloutController) candidates(_ time.Time, _ *rand.Rand, set *route.CandidateSet) (*route.CandidateSet, string) {
	return set, ""
}

// check refuses a call that the upstream on this VM must not run because of its version.
func (c *rolloutController) check(time.Time, *admissionRequest) *call.Refusal { return nil }

// observe records an answer of the upstream on this VM, or a failure, as evidence about its version.
func (c *rolloutController) observe(_ time.Time, _ *admissionRequest, _ bool, _ time.Duration) {}

// receiveUpdate applies roll-out records from another node.
func (c *rolloutController) receiveUpdate(time.Time, *wire.RolloutUpdate) {}

// digest returns the digest of the known records, or 0 without any.
func (c *rolloutController) digest() uint64 { return 0 }

// records returns the known records for an exchange.
func (c *rolloutController) records(time.Time) *wire.RolloutUpdate { return nil }

// answerEvidence records the evidence of another node and returns the newest stage.
func (c *rolloutController) answerEvidence(time.Time, *wire.RolloutEvidence) *wire.RolloutEvidenceAck {
	return &wire.RolloutEvidenceAck{}
}
