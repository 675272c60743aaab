package baobabquota

import (
	"math"
	"time"
)

// unlimitedRequests is a grant that never ends before the next reply.
const unlimitedRequests = 1e9

// A ledgerAccount is the state of one account at its coordinator.
type ledgerAccount struct {
	name           string
	limit          Limit
	level          float64 // Requests that may still run; negative when more ran than the limit allows.
	updatedAt      time.Time
	share          float64
	demand         float64 // Requests per second at all nodes.
	baseShare      float64 // Share before nodes started to report here.
	rateShare      float64 // Part of the rate that this side of the mesh may grant.
	known          int     // Members, including dead ones that did not leave.
	reporters      map[string]*reporter
	createdAt      time.Time
	awaitsLevel    bool    // The level started at zero, because nothing was known of it.
	base           float64 // Level that nodes brought from another coordinator.
	baseAt         time.Time
	announcedShare float64
	announced      time.Time // When the share was last announced to all nodes; zero if never.
}

// A reporter is the use of an account at one node, as known to the coordinator.
type reporter struct {
	session         uint64
	joined          time.Time // When the session started.
	asked, admitted uint64
	at              time.Time // Of the last report.
	measuredAt      time.Time // Of the last report that changed the rates.
	newAsked        float64   // Requests since then.
	newAdmitted     float64   // Admitted requests since then.
	demand          float64   // Requests per second.
	admitRate       float64   // Admitted requests per second.
	presumed        float64   // Requests charged without a report.
	withheld        float64   // Share of the requests that it refused when the session started.
	active          bool      // The last report was not a closing one.
	unmeasured      bool      // The rates are those of another coordinator's time.
}

// newLedgerAccount returns the state of an account without use. Its level is the burst if nothing can have used it, and
// zero otherwise.
func newLedgerAccount(now time.Time, name string, l Limit, full bool) *ledgerAccount {
	a := &ledgerAccount{name: name, limit: l, createdAt: now, updatedAt: now, awaitsLevel: !full, share: 1, baseShare: 1, rateShare: 1, known: 1, reporters: map[string]*reporter{}}
	if full {
		a.level = l.burst
	}
	return a
}

// record charges the difference between a total and the last one of the same session.
func (a *ledgerAccount) record(now time.Time, report Report, u Usage, t Topology, rateShare float64) {
	a.rateShare, a.known = rateShare, t.known
	r := a.reporters[report.from]
	if r == nil {
		r = &reporter{at: now.Add(-reportInterval), measuredAt: now.Add(-reportInterval)}
		a.reporters[report.from] = r
	}
	if r.session != report.session || u.asked < r.asked {
		a.inherit(now, u)
		r.session, r.joined, r.asked, r.admitted = report.session, now, u.knownAsked, u.knownAdmitted
		r.withheld = u.withheld
		if u.hasLevel {
			// The totals are those since the last grant.
			r.measuredAt, r.demand, r.admitRate = now.Add(-max(u.levelAge, urgentInterval)), 0, 0
			r.newAsked, r.newAdmitted, r.unmeasured = 0, 0, true
		}
	}
	asked, admitted := float64(u.asked-r.asked), float64(int64(u.admitted-r.admitted))
	r.active = asked > 0 || admitted != 0
	r.measure(now, asked, admitted)
	a.level -= admitted - r.presumed
	r.asked, r.admitted, r.at, r.presumed = u.asked, u.admitted, now, 0
	a.update(now)
}

// inherit lowers the level to what another coordinator has granted, as a node that has just turned to this one remembers it. What
// ran since then is in the reports. Of several nodes the one that remembers least knows most; what others reported before stays
// charged.
func (a *ledgerAccount) inherit(now time.Time, u Usage) {
	a.update(now)
	if !u.hasLevel {
		return
	}
	level := a.accrued(u.level, u.levelAge)
	base := a.accrued(a.base, now.Sub(a.baseAt))
	switch {
	case now.Sub(a.baseAt) < takeoverTime:
		a.level -= max(0, base-level)
		level = min(level, base)
	case a.awaitsLevel && now.Sub(a.createdAt) < takeoverTime:
		a.level = min(a.level+level, a.limit.burst)
	case level < a.level:
		a.level = level
	default:
		return
	}
	a.base, a.baseAt, a.awaitsLevel = level, now, false
}

// accrued returns a level after a time without requests.
func (a *ledgerAccount) accrued(level float64, elapsed time.Duration) float64 {
	return min(level+elapsed.Seconds()*a.limit.rate, a.limit.burst)
}

// reportedLevel returns the level by the reports alone. Another coordinator gets the reports of nodes that are silent here.
func (a *ledgerAccount) reportedLevel() float64 {
	level := a.level
	for _, r := range a.reporters {
		level += r.presumed
	}
	return min(level, a.limit.burst)
}

// resume continues after this process did not run for a time, in which the nodes turned to another coordinator.
func (a *ledgerAccount) resume(now time.Time, absence time.Duration) {
	a.updatedAt = now
	a.level = min(a.level, 0)
	for _, r := range a.reporters {
		r.at = r.at.Add(absence)
	}
}

// announceDue reports whether the last announcement is old, or much higher than the share is now.
func (a *ledgerAccount) announceDue(now time.Time) bool {
	age := now.Sub(a.announced)
	return age >= announceInterval || (a.share < announceDrop*a.announcedShare && age >= urgentInterval)
}

// fresh reports whether most of the demand is from nodes that report here now.
func (a *ledgerAccount) fresh(now time.Time) bool {
	var recent float64
	for _, r := range a.reporters {
		if now.Sub(r.at) <= 2*reportInterval {
			recent += r.demand
		}
	}
	return 2*recent > a.demand
}

// measure updates the rates of a node. Reports that follow each other at once waited while this process was paused; their
// requests are spread over the time until the next one.
func (r *reporter) measure(now time.Time, asked, admitted float64) {
	r.newAsked += asked
	r.newAdmitted += admitted
	elapsed := now.Sub(r.measuredAt)
	if elapsed < urgentInterval/2 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
	if r.unmeasured {
		weight, r.unmeasured = 1, false
	}
	r.demand += (r.newAsked/elapsed.Seconds() - r.demand) * weight
	r.admitRate += (max(r.newAdmitted, 0)/elapsed.Seconds() - r.admitRate) * weight
	r.newAsked, r.newAdmitted, r.measuredAt = 0, 0, now
}

// update brings the level, the demand and the share up to date.
func (a *ledgerAccount) update(now time.Time) {
	elapsed := max(0, now.Sub(a.updatedAt).Seconds())
	a.updatedAt = now
	a.level = min(a.level+elapsed*a.limit.rate*a.rateShare, a.limit.burst)
	a.demand = 0
	var joined, withheld float64 // Demand of nodes that reported to another coordinator until now, and what they refused.
	heard := 0
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
		heard++
		if now.Sub(r.joined) < takeoverTime {
			joined += r.demand + minWeight
			withheld += (r.demand + minWeight) * r.withheld
		}
		if r.active && silent > presumeAfter {
			charge := r.admitRate*silent.Seconds() - r.presumed
			r.presumed += charge
			a.level -= charge
		}
	}
	available := a.level + tolerance
	a.share = 1
	if a.demand > 0 {
		a.share = min(max((a.limit.rate*a.rateShare+available/lookAhead.Seconds())/a.demand, 0), 1)
	}
	if joined > takeoverPart*a.demand && withheld > takeoverPart*joined {
		// The nodes that do not report here yet use the rest of the rate.
		rest := max(0, a.demand-joined)
		kept := (joined - withheld + rest*a.baseShare) / (joined + rest)
		equal := a.limit.rate * a.rateShare * float64(heard) / float64(a.known) / a.demand
		a.share = min(a.share, max(kept, equal))
		return
	}
	a.baseShare = a.share
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
	if a.share >= 1 && a.rateShare >= 1 {
		requests += openRequests + 2*math.Sqrt(requests)
	} else {
		// A node with little demand may use its fraction of a request; the share decides how often.
		requests = max(requests, 1)
	}
	return NewGrant(a.name, a.share, requests).WithLevel(a.reportedLevel())
}
