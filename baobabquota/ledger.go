package baobabquota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A Ledger decides, as the coordinator of accounts, how much each node may admit. It is safe for concurrent use.
type Ledger struct {
	self string

	mu            sync.Mutex
	topology      Topology                  // Guarded by mu.
	since         []time.Time               // Guarded by mu; when this node became the coordinator of each shard, or zero.
	accounts      map[string]*ledgerAccount // Guarded by mu.
	announced     map[string]*ledgerAccount // Guarded by mu; accounts of which all nodes know that they are over their limit.
	heard         map[string]time.Time      // Guarded by mu; when each node last reported.
	minorityUntil time.Time                 // Guarded by mu; until when the other nodes may not know the end of a cut.
	minorityShare float64                   // Guarded by mu; the part of the rates granted until then.
	heardAt       time.Time                 // Guarded by mu; when recent was counted.
	recent        int                       // Guarded by mu; nodes that reported recently.
	hot           map[string]*ledgerAccount // Guarded by mu; accounts over their limit.
	seenAt        time.Time                 // Guarded by mu; when this process last ran.
	freshUntil    time.Time                 // Guarded by mu; until when others may not know that this process runs.
	staleUntil    time.Time                 // Guarded by mu; until when reports may be those that waited during a pause.

	substituteSince, substituteAt time.Time // Guarded by mu; first and last report taken in place of a coordinator.
}

// NewLedger returns a ledger without accounts, for the node with the given id.
func NewLedger(self string) *Ledger {
	return &Ledger{self: self, topology: NewTopology([][]string{{self}}, 1, 1), since: make([]time.Time, 1),
		accounts: map[string]*ledgerAccount{}, heard: map[string]time.Time{}, announced: map[string]*ledgerAccount{}, hot: map[string]*ledgerAccount{}}
}

// SetTopology replaces the view of who coordinates which accounts.
func (l *Ledger) SetTopology(now time.Time, t Topology) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := make([]time.Time, len(t.candidates))
	same := len(t.candidates) == len(l.topology.candidates)
	for i := range t.candidates {
		if t.coordinator(i) != l.self {
			continue
		}
		since[i] = now
		if same && !l.since[i].IsZero() {
			since[i] = l.since[i]
		}
	}
	if before := l.topology.RateShare(); before < 1 && t.RateShare() == 1 {
		l.minorityUntil, l.minorityShare = now.Add(takeoverTime), before
	}
	l.topology, l.since = t, since
}

// Record records the use at a node. It returns what the node may admit, for the reported accounts and for others over their
// limit, and the names of accounts that now exceed their limit. limitOf returns the limit of an account, and false if it
// has none.
func (l *Ledger) Record(now time.Time, r Report, limitOf func(string) (Limit, bool)) (grants []Grant, exceeded []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeTime(now)
	grants = make([]Grant, 0, len(r.usages)+len(l.hot))
	named := map[string]bool{}
	rateShare := l.rateShare(now, r)
	for _, u := range r.usages {
		limit, limited := limitOf(u.account)
		if !limited {
			grants = append(grants, NewGrant(u.account, 1, unlimitedRequests))
			continue
		}
		a := l.account(now, u.account, limit)
		a.record(now, r, u, l.topology, rateShare)
		if l.classify(a) {
			exceeded = append(exceeded, u.account)
		}
		grants = append(grants, a.grantFor(r.from))
		named[u.account] = true
	}
	for _, name := range slices.Sorted(maps.Keys(l.hot)) {
		a := l.hot[name]
		if len(grants) >= maxHotGrants {
			break
		}
		if named[name] {
			continue
		}
		a.update(now)
		if l.classify(a); a.share < 1 {
			grants = append(grants, a.grantFor(r.from))
		}
	}
	return grants, exceeded
}

// observeTime notes the start of this process and its pauses, in which another coordinator grants in its place. It requires mu.
func (l *Ledger) observeTime(now time.Time) {
	absence, started := now.Sub(l.seenAt), !l.seenAt.IsZero()
	l.seenAt = now
	if started && absence <= PauseLimit {
		return
	}
	l.freshUntil = now.Add(takeoverTime)
	if started {
		l.resume(now, absence)
	}
}

// Resume makes the ledger doubt its levels after a time in which this process did not run. It is needed only for a pause that the
// clock does not show, such as one of the whole VM.
func (l *Ledger) Resume(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freshUntil = now.Add(takeoverTime)
	l.resume(now, 0)
}

// resume continues after an absence. It requires mu.
func (l *Ledger) resume(now time.Time, absence time.Duration) {
	// Reports that waited during the pause follow at once. They say nothing of where their nodes report now.
	clear(l.heard)
	l.recent, l.heardAt, l.staleUntil = 0, now, now.Add(urgentInterval)
	for _, a := range l.accounts {
		a.resume(now, absence)
	}
}

// rateShare returns the part of the rates that this node may grant. Members of which most report here are not cut off, also
// if this node has not learned yet that they are alive. It requires mu.
func (l *Ledger) rateShare(now time.Time, r Report) float64 {
	if !now.Before(l.staleUntil) {
		l.heard[r.from] = now
	}
	if age := now.Sub(l.heardAt); age > urgentInterval || age < 0 {
		l.heardAt, l.recent = now, 0
		for id, at := range l.heard {
			switch age := now.Sub(at); {
			case age <= 2*reportInterval:
				l.recent++
			case age > forgetTime:
				delete(l.heard, id)
			}
		}
	}
	if 2*l.recent > l.topology.known {
		return 1
	}
	if l.substitutes(now, r) {
		// The coordinator may be on the other side of a cut, with the nodes that do not report here.
		return min(float64(l.recent)/float64(l.topology.known), l.topology.RateShare())
	}
	if l.isAlone(now) {
		return min(1/float64(l.topology.known), l.topology.RateShare())
	}
	if now.Before(l.minorityUntil) {
		return l.minorityShare
	}
	return l.topology.RateShare()
}

// isAlone reports whether this process has just started, or run again after a pause, and only one node reports to it: the others
// may still report to another coordinator. It requires mu.
func (l *Ledger) isAlone(now time.Time) bool { return l.recent <= 1 && now.Before(l.freshUntil) }

// substitutes reports whether this node takes a report in place of the coordinator, and has begun to so recently that the members
// may not know yet which of them are dead or cut off. It requires mu.
func (l *Ledger) substitutes(now time.Time, r Report) bool {
	if len(r.usages) == 0 || l.topology.coordinator(l.topology.shardOf(r.usages[0].account)) == l.self {
		return false
	}
	if now.Sub(l.substituteAt) > PauseLimit {
		l.substituteSince = now
	}
	l.substituteAt = now
	return now.Sub(l.substituteSince) < takeoverTime
}

// classify keeps the accounts over their limit, and reports whether the account was below it before. It requires mu.
func (l *Ledger) classify(a *ledgerAccount) bool {
	if a.share >= 1 {
		delete(l.hot, a.name)
		return false
	}
	before := l.hot[a.name] != nil
	l.hot[a.name] = a
	return !before
}

// account returns the state of an account. It requires mu.
func (l *Ledger) account(now time.Time, name string, limit Limit) *ledgerAccount {
	a := l.accounts[name]
	if a == nil {
		since := l.since[l.topology.shardOf(name)]
		settled := !since.IsZero() && now.Sub(since) >= settleTime
		a = newLedgerAccount(now, name, limit, settled)
		l.accounts[name] = a
	}
	a.limit = limit
	return a
}

// Sweep frees the accounts that are no longer used.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		a.update(now)
		if len(a.reporters) == 0 {
			delete(l.accounts, name)
			delete(l.hot, name)
		}
	}
}

// Len returns the number of coordinated accounts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}

// Hot returns the accounts over their limit, sorted.
func (l *Ledger) Hot() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.hot))
}

// Announcements returns what all nodes must be told now, because some that do not report here may still get requests of
// accounts over their limit. While nearly all nodes report, the replies suffice.
func (l *Ledger) Announcements(now time.Time) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeTime(now)
	var grants []Grant
	for _, name := range slices.Sorted(maps.Keys(l.hot)) {
		a := l.hot[name]
		a.update(now)
		l.classify(a)
		told := float64(l.recent) >= toldPart*float64(l.topology.known)
		if a.share < 1 && !told && a.fresh(now) && a.announceDue(now) && len(grants) < maxHotGrants {
			a.announced, a.announcedShare = now, a.share
			grants = append(grants, NewGrant(name, a.share, 1))
			l.announced[name] = a
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.announced)) {
		if a := l.announced[name]; a.share >= 1 {
			a.announced, a.announcedShare = now, 1
			grants = append(grants, NewGrant(name, 1, openRequests))
			delete(l.announced, name)
		}
	}
	return grants
}
