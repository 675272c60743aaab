package baobabquota

import (
	"math"
	"time"
)

// unlimitedRequests is a grant that never ends before the next reply.
const unlimitedRequests = 1e9

// A ledgerAccount is the state of one account at its coordinator.
type ledgerAccount struct {
	name      string
	limit     Limit
	level     float64 // Requests that may still run; negative when more ran than the limit allows.
	updatedAt time.Time
	share     float64
	demand    float64 // Requests per second at all nodes.
	rateShare float64 // Part of the rate that this side of the mesh may grant.
	reporters map[string]*reporter
}

// A reporter is the use of an account at one node, as known to the coordinator.
type reporter struct {
	session         uint64
	asked, admitted uint64
	at              time.Time // Of the last report.
	demand          float64   // Requests per second.
	admitRate       float64   // Admitted requests per second.
	presumed        float64   // Requests charged without a report.
	active          bool      // The last report was not a closing one.
}

// newLedgerAccount returns the state of an account without use. Its level is the burst if nothing can have used it, and
// zero otherwise.
func newLedgerAccount(now time.Time, name string, l Limit, full bool) *ledgerAccount {
	a := &ledgerAccount{name: name, limit: l, updatedAt: now, share: 1, rateShare: 1, reporters: map[string]*reporter{}}
	if full {
		a.level = l.burst
	}
	return a
}

// record charges the difference between a total and the last one of the same session.
func (a *ledgerAccount) record(now time.Time, report Report, u Usage, t Topology) {
	a.rateShare = t.rateShare()
	r := a.reporters[report.from]
	if r == nil {
		r = &reporter{at: now.Add(-reportInterval)}
		a.reporters[report.from] = r
	}
	if r.session != report.session || u.asked < r.asked {
		r.session, r.asked, r.admitted = report.session, 0, 0
	}
	asked, admitted := float64(u.asked-r.asked), float64(int64(u.admitted-r.admitted))
	elapsed := max(now.Sub(r.at), urgentInterval).Seconds()
	weight := 1 - math.Exp(-elapsed/rateWindow.Seconds())
	r.demand += (asked/elapsed - r.demand) * weight
	r.admitRate += (max(admitted, 0)/elapsed - r.admitRate) * weight
	r.active = asked > 0 || admitted != 0
	a.level -= admitted - r.presumed
	r.asked, r.admitted, r.at, r.presumed = u.asked, u.admitted, now, 0
	a.update(now)
}

// update brings the level, the demand and the share up to date.
func (a *ledgerAccount) update(now time.Time) {
	elapsed := max(0, now.Sub(a.updatedAt).Seconds())
	a.updatedAt = now
	a.level = min(a.level+elapsed*a.limit.rate*a.rateShare, a.limit.burst)
	a.demand = 0
	for id, r := range a.reporters {
		silent := now.Sub(r.at)
		if silent > forgetTime {
			delete(a.reporters, id)
			continue
		}
		if !r.active {
			r.demand *= math.Exp(-elapsed / rateWindow.Seconds())
		}
		if silent > silenceLimit+reportInterval {
			continue
		}
		a.demand += r.demand
		if r.active && silent > 2*reportInterval {
			charge := r.admitRate*(silent-2*reportInterval).Seconds() - r.presumed
			r.presumed += charge
			a.level -= charge
		}
	}
	available := a.level + tolerance
	a.share = 1
	if a.demand > 0 {
		a.share = min(max((a.limit.rate*a.rateShare+available/lookAhead.Seconds())/a.demand, 0), 1)
	}
}

// grantFor returns what a node may admit until its next report: its part, by demand, of the level and of the rate in that
// time.
func (a *ledgerAccount) grantFor(from string) Grant {
	total := max(0, a.level+tolerance) + a.limit.rate*a.rateShare*lookAhead.Seconds()
	var part float64
	if r := a.reporters[from]; r != nil && a.demand > 0 {
		part = r.demand / a.demand
	}
	requests := part * total
	if a.share >= 1 {
		requests = max(requests, openRequests)
	} else {
		// A node with little demand may use its fraction of a request; the share decides how often.
		requests = max(requests, 1)
	}
	return NewGrant(a.name, a.share, requests)
}
