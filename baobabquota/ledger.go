package baobabquota

import (
	"slices"
	"sync"
	"time"
)

// A Ledger decides, as the coordinator of accounts, how much each node may admit. It is safe for concurrent use.
type Ledger struct {
	self string

	mu       sync.Mutex
	topology Topology                  // Guarded by mu.
	since    []time.Time               // Guarded by mu; when this node became the coordinator of each shard, or zero.
	accounts map[string]*ledgerAccount // Guarded by mu.
	hot      map[string]*ledgerAccount // Guarded by mu; accounts over their limit.
}

// NewLedger returns a ledger without accounts, for the node with the given id.
func NewLedger(self string) *Ledger {
	return &Ledger{self: self, topology: NewTopology([]string{self}, 1, 1), since: make([]time.Time, 1),
		accounts: map[string]*ledgerAccount{}, hot: map[string]*ledgerAccount{}}
}

// SetTopology replaces the view of who coordinates which accounts.
func (l *Ledger) SetTopology(now time.Time, t Topology) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := make([]time.Time, len(t.coordinators))
	same := len(t.coordinators) == len(l.topology.coordinators)
	for i, c := range t.coordinators {
		if c != l.self {
			continue
		}
		since[i] = now
		if same && !l.since[i].IsZero() {
			since[i] = l.since[i]
		}
	}
	l.topology, l.since = t, since
	for name := range l.accounts {
		if t.coordinators[t.shardOf(name)] != l.self {
			delete(l.accounts, name)
			delete(l.hot, name)
		}
	}
}

// Record records the use at a node. It returns what the node may admit, for the reported accounts and for others over their
// limit, and the names of accounts that now exceed their limit. limitOf returns the limit of an account, and false if it
// has none.
func (l *Ledger) Record(now time.Time, r Report, limitOf func(string) (Limit, bool)) (grants []Grant, exceeded []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants = make([]Grant, 0, len(r.usages)+len(l.hot))
	named := map[string]bool{}
	for _, u := range r.usages {
		limit, limited := limitOf(u.account)
		if !limited {
			grants = append(grants, NewGrant(u.account, 1, unlimitedRequests))
			continue
		}
		a := l.account(now, u.account, limit)
		a.record(now, r, u, l.topology)
		if l.classify(a) {
			exceeded = append(exceeded, u.account)
		}
		grants = append(grants, a.grantFor(r.from))
		named[u.account] = true
	}
	for name, a := range l.hot {
		if len(grants) >= len(r.usages)+maxHotGrants {
			break
		}
		if !named[name] {
			grants = append(grants, a.grantFor(r.from))
		}
	}
	return grants, exceeded
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
	list := make([]string, 0, len(l.hot))
	for name := range l.hot {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}
