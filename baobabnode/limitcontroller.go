package baobabnode

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	call "github.com/baobabdale/baobabdale/baobabcall"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	quota "github.com/baobabdale/baobabdale/baobabquota"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// usageTick is how often a node looks for reports to send. It delays an urgent report by half of it on average.
	usageTick = 50 * time.Millisecond
	// usageTimeout bounds a report and its reply.
	usageTimeout = 400 * time.Millisecond
	// usageSweepInterval is how often unused accounts are freed.
	usageSweepInterval = 10 * time.Second
	// topologyInterval bounds the age of the view of the members, also without a change of a member.
	topologyInterval = 10 * time.Second
	// deadMemberTime is how long a dead member counts as possibly cut off and alive. Until then a minority of the members
	// grants only a small part of the limits.
	deadMemberTime = 10 * time.Minute
	// coordinatorCandidates is how many members may coordinate the accounts of a shard, one after the other.
	coordinatorCandidates = 4
	// limitLogInterval is how often lines about accounts over their limit and about silent coordinators may be logged.
	limitLogInterval = 5 * time.Second
)

// A limitController keeps client accounts within their limits over all nodes.
type limitController struct {
	meter       *quota.Meter
	ledger      *quota.Ledger
	members     *memberTable
	transport   *peer.Transport
	broadcaster *broadcaster
	now         func() time.Time
	logger      *log.Logger
	overLog     *rate.Limiter
	silentLog   *rate.Limiter
	turnLog     *rate.Limiter
	limitOf     func(account string) (ratePerSecond, burst float64, limited bool)
	// accountsUsed reports whether the configuration in force has accounts, and returns a channel that is closed when it changes.
	accountsUsed func() (bool, <-chan struct{})
	cutOff       func() bool // Reports whether this node is probably cut off from most others.
	reach        *reachability

	admitted, refused, refunded, sent, failed, turned *metrics.Counter
	lastSilence                                       atomic.Int64 // Time without a reply, in nanoseconds.
	topology                                          atomic.Pointer[quota.Topology]
	rateShare                                         float64 // Of the last topology; used by run only.
}

func newLimitController(members *memberTable, transport *peer.Transport, b *broadcaster, now func() time.Time, logger *log.Logger, set *metrics.Set) *limitController {
	l := &limitController{
		meter: quota.NewMeter(members.self, uint64(now().UnixNano())), ledger: quota.NewLedger(members.self),
		members: members, transport: transport, broadcaster: b, now: now, logger: logger,
		overLog:      rate.NewLimiter(rate.Every(limitLogInterval), 3),
		turnLog:      rate.NewLimiter(rate.Every(limitLogInterval), 1),
		silentLog:    rate.NewLimiter(rate.Every(limitLogInterval), 1),
		rateShare:    1,
		limitOf:      func(string) (float64, float64, bool) { return 0, 0, false },
		accountsUsed: func() (bool, <-chan struct{}) { return true, nil },
		cutOff:       func() bool { return false },
		reach:        newReachability(func(context.Context, string) bool { return false }),
		admitted:     set.NewCounter("baobab_quota_admitted_total"),
		refused:      set.NewCounter("baobab_quota_refused_total"),
		refunded:     set.NewCounter("baobab_quota_refunded_total"),
		sent:         set.NewCounter("baobab_quota_reports_sent_total"),
		failed:       set.NewCounter("baobab_quota_reports_failed_total"),
		turned:       set.NewCounter("baobab_quota_reports_turned_total"),
	}
	set.NewGauge("baobab_quota_reply_age_seconds", func() float64 { return l.meter.LastReplyAge(l.now()).Seconds() })
	set.NewGauge("baobab_quota_metered_accounts", func() float64 { return float64(l.meter.Len()) })
	set.NewGauge("baobab_quota_coordinated_accounts", func() float64 { return float64(l.ledger.Len()) })
	set.NewGauge("baobab_quota_accounts_over_limit", func() float64 { return float64(len(l.ledger.Hot())) })
	return l
}

// limit returns the limit of an account, and false if it has none.
func (l *limitController) limit(account string) (quota.Limit, bool) {
	perSecond, burst, limited := l.limitOf(account)
	return quota.NewLimit(perSecond, burst), limited && perSecond > 0
}

// run reports use to coordinators until ctx ends.
func (l *limitController) run(ctx context.Context) error {
	ticker := time.NewTicker(usageTick)
	defer ticker.Stop()
	var digest membership.Digest
	var topologyAt, sweptAt time.Time
	bootTime := account.BootTime()
	cutOff := false
	for {
		if used, changed := l.accountsUsed(); !used {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := l.now()
		before := bootTime
		if bootTime = account.BootTime(); bootTime-before > quota.PauseLimit {
			l.meter.Resume(now)
			l.ledger.Resume(now)
		}
		if next, c := l.members.digest(), l.cutOff(); now.Sub(topologyAt) > topologyInterval || c != cutOff || len(next.Differing(digest)) > 0 {
			l.setTopology(now, c)
			digest, topologyAt, cutOff = next, now, c
		}
		if now.Sub(sweptAt) > usageSweepInterval {
			l.meter.Sweep(now)
			l.ledger.Sweep(now)
			sweptAt = now
		}
		if grants := l.ledger.Announcements(now); len(grants) > 0 {
			l.meter.ApplyAnnouncement(now, grants)
			l.broadcaster.broadcast(&wire.Broadcast{Update: &wire.Broadcast_Usage{Usage: toWireReply(grants)}})
		}
		for _, r := range l.meter.Reports(now) {
			go l.report(ctx, r)
		}
		l.logSilence(now)
	}
}

// setTopology derives the coordinators from the live members. A node that is cut off counts itself alone as live: the others
// choose another coordinator, and it does not learn of deaths in other failure domains.
func (l *limitController) setTopology(now time.Time, cutOff bool) {
	live, known := l.members.count(now, deadMemberTime)
	if cutOff {
		live = 1
	}
	candidates := make([][]string, quota.ShardCount(known))
	for i := range candidates {
		order := l.members.rendezvousOrder(fmt.Sprintf("quota/%d", i), "")
		for _, m := range order[:min(coordinatorCandidates, len(order))] {
			candidates[i] = append(candidates[i], m.ID())
		}
		if len(candidates[i]) == 0 {
			candidates[i] = []string{l.members.self}
		}
	}
	t := quota.NewTopology(candidates, live, known)
	l.topology.Store(&t)
	if share := t.RateShare(); share != l.rateShare {
		l.logger.Info("part of the account limits that this node may grant", "part", share, "live", live, "known", known, "cut_off", cutOff)
		l.rateShare = share
	}
	l.meter.SetTopology(now, t)
	l.ledger.SetTopology(now, t)
}

// report sends a report and applies the reply.
func (l *limitController) report(ctx context.Context, r quota.Report) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	grants, earlier, err := l.requestGrants(ctx, r)
	switch {
	case err != nil:
		l.failed.Inc()
		if next := l.meter.Fail(l.now(), r); next != "" && l.turnLog.AllowN(l.now(), 1) {
			l.logger.Warn("coordinator of account limits does not answer; the next candidate is asked",
				"coordinator", r.Coordinator(), "next", next, "err", err)
		}
	case earlier != "":
		l.turned.Inc()
		l.meter.Refuse(l.now(), r, earlier)
	default:
		l.meter.Apply(l.now(), r, grants)
	}
}

// requestGrants sends a report and returns the grants of the coordinator, or the candidate that it names in its place.
func (l *limitController) requestGrants(ctx context.Context, r quota.Report) (grants []quota.Grant, earlier string, err error) {
	if r.Coordinator() == l.members.self {
		grants, earlier = l.take(l.now(), r)
		return grants, earlier, nil
	}
	l.sent.Inc()
	coordinator, ok := l.members.member(r.Coordinator())
	if !ok {
		return nil, "", errors.Errorf("coordinator %s is not a member", r.Coordinator())
	}
	reply, err := l.transport.Request(ctx, coordinator.PeerAddress(), &wire.Envelope{Body: &wire.Envelope_UsageReport{UsageReport: toWireUsage(r)}})
	if err != nil {
		return nil, "", errors.Wrap(err, "report use")
	}
	m := reply.GetUsageReply()
	if m.GetEarlier() != "" {
		return nil, m.GetEarlier(), nil
	}
	if m == nil || !m.GetCoordinator() {
		return nil, "", errors.Errorf("node %s does not coordinate accounts", r.Coordinator())
	}
	return fromWireReply(m), "", nil
}

// take records a report, or names a candidate before this one that it reaches and that coordinates the accounts.
func (l *limitController) take(now time.Time, r quota.Report) (grants []quota.Grant, earlier string) {
	if t := l.topology.Load(); t != nil && len(r.Usages()) > 0 {
		for _, c := range t.Earlier(r.Usages()[0].Account(), l.members.self) {
			if l.reach.reaches(now, c) {
				return nil, c
			}
		}
	}
	return l.record(now, r), ""
}

// record records a report in the ledger and logs the accounts that it puts over their limit.
func (l *limitController) record(now time.Time, r quota.Report) []quota.Grant {
	grants, exceeded := l.ledger.Record(now, r, l.limit)
	for _, name := range exceeded {
		if l.overLog.AllowN(now, 1) {
			limit, _ := l.limit(name)
			l.logger.Warn("account over its limit", "account", name, "rate", limit.Rate(), "burst", limit.Burst())
		}
	}
	return grants
}

// logSilence logs when this node falls back to its own share of the limits, and when a coordinator answers again.
func (l *limitController) logSilence(now time.Time) {
	silence := l.meter.LastReplyAge(now)
	if !quota.FallsBack(silence) {
		silence = 0
	}
	before := time.Duration(l.lastSilence.Swap(int64(silence)))
	if (silence > 0) == (before > 0) || !l.silentLog.AllowN(now, 1) {
		return
	}
	if silence > 0 {
		l.logger.Warn("coordinator of account limits is silent; this node admits its own share", "silence", silence)
		return
	}
	l.logger.Info("coordinator of account limits answers again", "silence", before)
}

// admit charges a request to an account, or returns a refusal with OutcomeNotRun. An empty account is never limited.
func (l *limitController) admit(now time.Time, account string) *call.Refusal {
	if account == "" {
		return nil
	}
	limit, limited := l.limit(account)
	if !limited {
		return nil
	}
	ok, retryAfter := l.meter.Admit(now, account, limit)
	if ok {
		l.admitted.Inc()
		return nil
	}
	l.refused.Inc()
	return call.NewRefusal(call.ReasonOverLimit, call.OutcomeNotRun, "account "+account+" is over its limit").WithRetryAfter(retryAfter)
}

// refund gives back the charge of an admitted request that certainly did not run.
func (l *limitController) refund(now time.Time, account string) {
	if account != "" && l.meter.Refund(now, account) {
		l.refunded.Inc()
	}
}

// answerUsage records the use that another node reports.
func (l *limitController) answerUsage(now time.Time, m *wire.UsageReport) *wire.UsageReply {
	usages := make([]quota.Usage, 0, len(m.GetAccounts()))
	for _, a := range m.GetAccounts() {
		options := []quota.UsageOption{quota.WithKnown(a.GetKnownAsked(), a.GetKnownAdmitted())}
		if a.Level != nil {
			options = append(options, quota.WithLevel(a.GetLevel(), time.Duration(a.GetLevelAgeUs())*time.Microsecond))
		}
		usages = append(usages, quota.NewUsage(a.GetAccount(), a.GetAsked(), a.GetAdmitted(), a.GetWithheld(), options...))
	}
	grants, earlier := l.take(now, quota.NewReport(m.GetFrom(), m.GetStart(), usages))
	if earlier != "" {
		return &wire.UsageReply{Earlier: earlier}
	}
	return toWireReply(grants)
}

// receiveAnnouncement applies what a coordinator told all nodes.
func (l *limitController) receiveAnnouncement(now time.Time, m *wire.UsageReply) {
	l.meter.ApplyAnnouncement(now, fromWireReply(m))
}

func toWireReply(grants []quota.Grant) *wire.UsageReply {
	m := &wire.UsageReply{Coordinator: true}
	for _, g := range grants {
		a := &wire.AccountAllowance{Account: g.Account(), Share: g.Share(), Requests: g.Requests()}
		if level, ok := g.Level(); ok {
			a.Level = &level
		}
		m.Accounts = append(m.Accounts, a)
	}
	return m
}

func fromWireReply(m *wire.UsageReply) []quota.Grant {
	grants := make([]quota.Grant, 0, len(m.GetAccounts()))
	for _, a := range m.GetAccounts() {
		g := quota.NewGrant(a.GetAccount(), a.GetShare(), a.GetRequests())
		if a.Level != nil {
			g = g.WithLevel(a.GetLevel())
		}
		grants = append(grants, g)
	}
	return grants
}

func toWireUsage(r quota.Report) *wire.UsageReport {
	m := &wire.UsageReport{From: r.From(), Start: r.Session()}
	for _, u := range r.Usages() {
		a := &wire.AccountUsage{
			Account: u.Account(), Asked: u.Asked(), Admitted: u.Admitted(), Withheld: u.Withheld(),
			KnownAsked: u.KnownAsked(), KnownAdmitted: u.KnownAdmitted(),
		}
		if level, age, ok := u.Level(); ok {
			a.Level, a.LevelAgeUs = &level, age.Microseconds()
		}
		m.Accounts = append(m.Accounts, a)
	}
	return m
}
