package baobabquota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A meterAccount is the state of one account at one ingress node.
type meterAccount struct {
	name    string
	limit   Limit
	session *session
	lastUse time.Time

	asked, admitted           uint64 // Since the start of the session.
	ackedAsked, ackedAdmitted uint64 // Known to the coordinator.
	closed                    bool   // The coordinator knows that no request followed the last one.

	share     float64 // Of the requests to admit, from 0 to 1.
	credit    float64 // Fractions of admitted requests, from 0 to 1.
	budget    float64 // Requests to admit at most until the next reply.
	ownRate   float64 // Recent admitted requests per second at this node.
	ackedAt   time.Time
	refillAt  time.Time
	withheld  float64   // Share of the requests refused by the last coordinator's grant, until this one answers.
	fallback  bool      // The coordinator is silent and the budget is the node's own share.
	grantedBy uint64    // Session in which the last grant arrived; a new coordinator does not know yet who is over the limit.
	granted   time.Time // When the last grant arrived.

	level   float64   // Of the account at its coordinator, by the last reply that told it.
	levelAt time.Time // When that reply arrived; zero: none has.
	levelBy uint64    // Session in which it arrived.
}

// newMeterAccount returns the state of an account that this node knows nothing about. The credit starts at a different
// fraction on each node, so that nodes with few requests do not all admit or all refuse their first one.
func newMeterAccount(now time.Time, self, name string, l Limit, s *session, t Topology) *meterAccount {
	a := &meterAccount{name: name, limit: l, session: s, share: 1, refillAt: now, lastUse: now, ackedAt: now, closed: true}
	a.credit = float64(xxhash.Sum64String(self+"/"+name)>>11) / (1 << 53)
	a.open(t)
	return a
}

// open gives the account what a node may admit before it has asked.
func (a *meterAccount) open(t Topology) {
	a.share = 1
	a.budget = a.limit.withoutGrant(t)
	if !a.session.everAnswered {
		// After a restart of all nodes, what each admits on its own adds up.
		a.budget = max(1, a.limit.equalShare(t))
	}
}

// use records that a request arrived.
func (a *meterAccount) use(now time.Time, l Limit, t Topology) {
	if l != a.limit {
		lowered := l.rate < a.limit.rate
		a.limit = l
		if lowered {
			a.budget = min(a.budget, l.withoutGrant(t))
		}
	}
	if a.session.active[a.name] == nil {
		if !a.session.lost(now) && (a.share >= 1 || now.Sub(a.granted) > staleTime) {
			rest := a.budget
			a.open(t)
			if now.Sub(a.granted) < keepTime {
				a.budget = max(a.budget, rest)
			}
		}
		a.session.active[a.name] = a
	}
	a.closed = false
	a.asked++
	a.lastUse = now
}

// admit decides on a request.
func (a *meterAccount) admit(now time.Time, t Topology) bool {
	lost := a.session.lost(now)
	a.refill(now, lost, t)
	if !lost {
		if a.credit += a.share; a.credit < 1 {
			return false
		}
		a.credit--
	}
	if a.budget < 1 {
		a.session.urgent = true
		return false
	}
	a.budget--
	a.admitted++
	if a.budget < 1 {
		a.session.urgent = true
	}
	return true
}

// refill adds to the budget while the coordinator is silent: first the recent rate of this node, then the share that it
// may use on its own, without a burst.
func (a *meterAccount) refill(now time.Time, lost bool, t Topology) {
	elapsed := max(0, now.Sub(a.refillAt).Seconds())
	a.refillAt = now
	if lost {
		if !a.fallback {
			// Nodes start at different fractions of a request, so that they do not all admit one at once.
			a.fallback, a.budget = true, min(a.budget, a.credit)
		}
		a.budget = min(1, a.budget+elapsed*a.limit.rate*t.ownShare())
		return
	}
	a.fallback = false
	if a.session.silence(now) > replyTimeout {
		perSecond := a.ownRate
		if a.share >= 1 {
			perSecond = max(a.ownRate*(1+silentMargin), a.limit.rate*silentShare/float64(t.known))
		}
		a.budget += elapsed * perSecond
	}
}

// acknowledge records that the coordinator knows a total.
func (a *meterAccount) acknowledge(now, sentAt time.Time, u Usage) {
	if elapsed := sentAt.Sub(a.ackedAt).Seconds(); elapsed > 0 {
		recent := max(0, float64(int64(u.admitted-a.ackedAdmitted))) / max(elapsed, urgentInterval.Seconds())
		a.ownRate += (recent - a.ownRate) * (1 - math.Exp(-elapsed/rateWindow.Seconds()))
	}
	unchanged := u.asked == a.ackedAsked && u.admitted == a.ackedAdmitted && u.asked == a.asked
	a.ackedAsked, a.ackedAdmitted, a.ackedAt = u.asked, u.admitted, sentAt
	if unchanged && (a.share >= 1 || now.Sub(a.lastUse) > idleTime) {
		a.closed = true
		delete(a.session.active, a.name)
	}
}

// grant applies the decision of the coordinator, less the requests admitted since the report.
func (a *meterAccount) grant(now time.Time, g Grant) {
	a.throttle(now, g)
	a.withheld = 0
	if level, ok := g.Level(); ok {
		a.level, a.levelAt, a.levelBy = level, now, a.session.number
	}
	a.budget = g.requests - float64(int64(a.admitted-a.ackedAdmitted))
	a.refillAt = now
}

// throttle applies a share and lowers the budget to what is granted.
func (a *meterAccount) throttle(now time.Time, g Grant) {
	if a.share = g.share; g.share < 1 {
		a.session.throttled[a.name] = a
	}
	a.granted, a.grantedBy = now, a.session.number
	a.budget = min(a.budget, max(g.requests, 1))
}

// refund returns the charge of one request. It reports false if the totals of the session do not contain it.
func (a *meterAccount) refund() bool {
	if a.admitted == 0 {
		return false
	}
	a.admitted--
	a.budget++
	a.session.active[a.name] = a
	return true
}

// usage returns the totals to report.
func (a *meterAccount) usage(now time.Time) Usage {
	options := []UsageOption{WithKnown(a.ackedAsked, a.ackedAdmitted)}
	if a.levelBy != a.session.number && !a.levelAt.IsZero() && now.Sub(a.levelAt) < forgetTime {
		options = append(options, WithLevel(a.level, now.Sub(a.levelAt)))
	}
	return NewUsage(a.name, a.asked, a.admitted, a.withheld, options...)
}

// rebase starts the totals of a new session, with the requests that no coordinator knows of.
func (a *meterAccount) rebase() {
	a.asked -= min(a.asked, a.ackedAsked)
	a.admitted -= min(a.admitted, a.ackedAdmitted)
	a.ackedAsked, a.ackedAdmitted, a.withheld = 0, 0, 1-a.share
}

// retryAfter returns when the account is expected to have room.
func (a *meterAccount) retryAfter() time.Duration {
	seconds := 1 / max(a.limit.rate*max(a.share, 0.1), 0.01)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
