package baobabnode

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	operator "github.com/baobabdale/baobabdale/baobaboperator"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// proofTimeout bounds the wait for a proof. A late answer is still useful, because several requests run at a time.
	proofTimeout = 1500 * time.Millisecond
	// startQuiet is how long a starting node may lack proof before that is logged.
	startQuiet = 2 * time.Second
	// proofExpiredRetryAfter is when a call that was refused for want of proof may return.
	proofExpiredRetryAfter = time.Second
)

// An accountController identifies the client accounts of calls and keeps the proof that the keys in force are current.
type accountController struct {
	board         *blackboard.Board
	members       *memberTable
	configuration *configurationController
	transport     *peer.Transport
	freshness     *account.Freshness
	counters      *accountCounters
	bootTime      func() time.Duration
	logger        *log.Logger

	confirming atomic.Bool // A confirmation by the source is in progress.
	refusing   bool        // Used by run only; the log says that requests with keys are refused.
}

// newAccountController returns a controller whose configuration must be set before it runs.
func (n *Node) newAccountController() *accountController {
	return &accountController{
		board: n.board, members: n.members, transport: n.transport, logger: n.logger, bootTime: account.BootTime,
		freshness: account.NewFreshness(n.overrides.withdrawalLimit), counters: newAccountCounters(),
	}
}

// An identity is the client account of a call and the rank that it gives the call.
type identity struct {
	account string // Empty for an anonymous call.
	rank    string // Empty if the account does not change the rank.
}

// identify returns the account of a call, or a refusal with OutcomeNotRun. If the configuration in force does not require
// keys, every call is anonymous. Refusals do not distinguish a missing key from an unknown one.
func (a *accountController) identify(_ time.Time, active *blackboard.ActiveConfiguration, r configuration.Route,
	c *call.Call) (identity, *call.Refusal) {
	directory := active.Accounts()
	if !directory.RequiresKeys() {
		return identity{}, nil
	}
	k := c.Credential()
	if !k.Presented() && r.AllowsAnonymous() {
		return identity{}, nil
	}
	found := directory.Find(k)
	if _, ok := k.Digest(); ok && !a.freshness.Valid(a.bootTime(), active.Version().Number()) {
		a.counters.count(accountName(found), accountProofExpired)
		return identity{}, call.NewRefusal(call.ReasonProofExpired, call.OutcomeNotRun,
			"the node cannot prove that keys are still valid").WithRetryAfter(proofExpiredRetryAfter)
	}
	if found == nil {
		a.counters.count(noAccount, accountUnauthorized)
		return identity{}, call.NewRefusal(call.ReasonUnauthorized, call.OutcomeNotRun, "the request has no known key")
	}
	return identity{account: found.Name(), rank: r.AccountRank(found.Priority())}, nil
}

// accountName returns the name of an account for the counters, also if it is nil.
func accountName(found *configuration.Account) string {
	if found == nil {
		return noAccount
	}
	return found.Name()
}

// countAdmission counts whether a call of an account was admitted by the limit of the account. Anonymous calls do not count.
func (a *accountController) countAdmission(name string, admitted bool) {
	switch {
	case name == "":
	case admitted:
		a.counters.count(name, accountAdmitted)
	default:
		a.counters.count(name, accountOverLimit)
	}
}

// writeMetrics writes the counters of accounts and, where keys need proof, the age of the proof in seconds.
func (a *accountController) writeMetrics(w io.Writer) {
	a.counters.write(w)
	view := a.proofView()
	if view == nil {
		return
	}
	valid := 0
	if view.Valid {
		valid = 1
	}
	_, _ = fmt.Fprintf(w, "baobab_account_proof_valid %d\n", valid)
	if view.Number > 0 {
		_, _ = fmt.Fprintf(w, "baobab_account_proof_age_seconds %g\n", view.AgeSeconds)
	}
}

// proofView returns the proof for the version in force, or nil where keys need none.
func (a *accountController) proofView() *operator.ProofView {
	active := a.board.ActiveConfiguration()
	if !a.freshness.Enabled() || active == nil || !active.Accounts().RequiresKeys() {
		return nil
	}
	now, number := a.bootTime(), active.Version().Number()
	v := &operator.ProofView{Valid: a.freshness.Valid(now, number)}
	if p, ok := a.freshness.Newest(); ok {
		v.Number, v.AgeSeconds = p.Number(), (now - p.At()).Seconds()
	}
	return v
}

// answerProof returns the newest proof that this node holds.
func (a *accountController) answerProof(time.Time, *wire.ProofRequest) *wire.Proof {
	p, ok := a.freshness.Newest()
	if !ok {
		return &wire.Proof{}
	}
	return &wire.Proof{Number: p.Number(), AgeUs: (a.bootTime() - p.At()).Microseconds()}
}

// run obtains proofs until ctx ends, while the configuration in force requires keys and keys need proof.
func (a *accountController) run(ctx context.Context) error {
	if !a.freshness.Enabled() {
		return nil
	}
	started := a.bootTime()
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		changed := a.board.ActiveConfigurationChanged()
		if active := a.board.ActiveConfiguration(); active == nil || !active.Accounts().RequiresKeys() {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		a.logValidity(a.bootTime() - started)
		order := a.members.headOrder(a.members.selfRecord().FailureDomain())
		before, _ := a.freshness.Newest()
		target, due := a.freshness.Next(a.bootTime(), positionIn(order, a.members.self), rand.Float64())
		if !sleep(ctx, due-a.bootTime()) {
			return nil
		}
		if newest, _ := a.freshness.Newest(); newest != before {
			continue // An earlier request was answered meanwhile.
		}
		a.freshness.Asked(a.bootTime())
		requests.Go(func() { a.ask(ctx, target, order) })
	}
	return nil
}

// positionIn returns the position of a node in the order of its failure domain.
func positionIn(order []membership.Member, self string) account.Position {
	for i := range min(len(order), int(account.PositionOther)) {
		if order[i].ID() == self {
			return account.Position(i)
		}
	}
	if len(order) == 0 {
		return account.PositionFirst
	}
	return account.PositionOther
}

// logValidity logs when requests with keys begin to be refused for want of proof, and when they are served again. The node
// has been running for some time.
func (a *accountController) logValidity(running time.Duration) {
	v := a.proofView()
	if v == nil || v.Valid != a.refusing || running < startQuiet {
		return
	}
	a.refusing = !v.Valid
	if a.refusing {
		a.logger.Warn("requests with keys are refused: no recent proof that the version in force is the newest",
			"in_force", a.board.ActiveVersion().Number(), "proven", v.Number, "age", time.Duration(v.AgeSeconds*float64(time.Second)))
		return
	}
	a.logger.Info("requests with keys are served", "proven", v.Number)
}

// ask requests a proof.
func (a *accountController) ask(ctx context.Context, t account.Target, order []membership.Member) {
	if t == account.TargetSource {
		ctx, cancel := sourceContext(ctx, proofTimeout)
		defer cancel()
		a.confirm(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	switch t {
	case account.TargetFirst, account.TargetSecond, account.TargetThird:
		if i := int(t - account.TargetFirst); i < len(order) {
			a.askMember(ctx, order[i], false)
		}
	case account.TargetOtherDomain:
		if m, ok := a.otherDomainMember(); ok {
			a.askMember(ctx, m, true)
		}
	}
}

// otherDomainMember returns a random live member of another failure domain.
func (a *accountController) otherDomainMember() (membership.Member, bool) {
	own := a.members.selfRecord().FailureDomain()
	var others []membership.Member
	for _, m := range a.members.liveMembers() {
		if m.FailureDomain() != own {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return membership.Member{}, false
	}
	return others[rand.N(len(others))], true
}

// askMember requests the proof of a member. The time before the request counts, so that a delayed answer makes the proof
// look older.
func (a *accountController) askMember(ctx context.Context, m membership.Member, crossDomain bool) {
	if m.ID() == a.members.self {
		return
	}
	sent := a.bootTime()
	reply, err := a.transport.Request(ctx, m.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_ProofRequest{
		ProofRequest: &wire.ProofRequest{From: a.members.self},
	}})
	if err != nil {
		a.logger.Debug("no proof from member", "member", m.ID(), "err", err)
		return
	}
	p := reply.GetProof()
	if p.GetNumber() == 0 {
		return
	}
	proof := account.NewReceivedProof(p.GetNumber(), sent, time.Duration(p.GetAgeUs())*time.Microsecond)
	a.freshness.Record(proof)
	a.configuration.prove(proof)
	if p.GetNumber() > a.board.ActiveVersion().Number() && p.GetNumber() != a.configuration.rejectedNumber() {
		a.configuration.observeVersion(&wire.Version{Number: p.GetNumber()}, m.PeerAddress(), crossDomain)
	}
}

// confirm obtains a proof from the source, unless that is in progress, and puts a newer version in force.
func (a *accountController) confirm(ctx context.Context) {
	if !a.confirming.CompareAndSwap(false, true) {
		return
	}
	defer a.confirming.Store(false)
	sent := a.bootTime()
	// An empty head makes the source return the current one. A revision could belong to another head after a restore.
	head, err := a.configuration.source.Confirm(ctx, release.Head{})
	if err != nil {
		a.logger.Debug("no proof from source", "err", err)
		return
	}
	a.recordConfirmed(sent, head)
	if err := a.configuration.loadIfNewer(ctx, head, a.configuration.publishesHead()); err != nil {
		a.logger.Debug("confirmed version not in force", "number", head.Version().Number(), "err", err)
		return
	}
	a.configuration.prove(account.NewProof(head.Version().Number(), sent))
}

// recordConfirmed records that the source confirmed a head in answer to a request sent at a boot time.
func (a *accountController) recordConfirmed(sent time.Duration, head release.Head) {
	a.freshness.Record(account.NewProof(head.Version().Number(), sent))
}
