package baobabnode

import (
	"context"
	"time"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// An accountController identifies the client accounts of calls and keeps the proof that the keys in force are current.
type accountController struct{}

// An identity is the client account of a call and the rank that it gives the call.
type identity struct {
	account string // Empty for an anonymous call.
	rank    string // Empty if the account does not change the rank.
}

// run obtains proofs until ctx ends.
func (a *accountController) run(context.Context) error { return nil }

// identify returns the account of a call, or a refusal with OutcomeNotRun. Without accounts in the configuration in force
// every call is anonymous. Refusals do not distinguish a missing key from an unknown one.
func (a *accountController) identify(_ time.Time, active *blackboard.ActiveConfiguration, r configuration.Route,
	c *call.Call) (identity, *call.Refusal) {
	directory := active.Accounts()
	if directory.Empty() {
		return identity{}, nil
	}
	k := c.Credential()
	if !k.Presented() && r.AllowsAnonymous() {
		return identity{}, nil
	}
	account := directory.Find(k)
	if account == nil {
		return identity{}, call.NewRefusal(call.ReasonUnauthorized, call.OutcomeNotRun, "the request has no known key")
	}
	return identity{account: account.Name(), rank: r.AccountRank(account.Priority())}, nil
}

// answerProof returns the newest proof that this node holds.
func (a *accountController) answerProof(time.Time, *wire.ProofRequest) *wire.Proof {
	return &wire.Proof{}
}
