package baobabquota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A Meter counts and limits the requests of accounts at one ingress node. It is safe for concurrent use.
type Meter struct {
	self string

	mu       sync.Mutex
	topology Topology                 // Guarded by mu.
	sessions []*session               // Guarded by mu; by shard.
	accounts map[string]*meterAccount // Guarded by mu.
	series   uint64                   // Guarded by mu; number of the last session.
}

// NewMeter returns a meter for the node with the given id. The number of its first session must differ from those of
// earlier processes with that id; the start time in nanoseconds is suitable.
func NewMeter(self string, firstSession uint64) *Meter {
	m := &Meter{self: self, accounts: map[string]*meterAccount{}, series: firstSession}
	m.SetTopology(time.Time{}, NewTopology([]string{self}, 1, 1))
	return m
}

// SetTopology replaces the view of who coordinates which accounts.
func (m *Meter) SetTopology(now time.Time, t Topology) {
	m.mu.Lock()
	defer m.mu.Unlock()
	resharded := len(t.coordinators) != len(m.topology.coordinators)
	m.topology = t
	sessions := make([]*session, len(t.coordinators))
	for i, c := range t.coordinators {
		if i < len(m.sessions) && m.sessions[i].coordinator == c && !resharded {
			sessions[i] = m.sessions[i]
			continue
		}
		m.series++
		sessions[i] = newSession(c, m.series)
	}
	m.sessions = sessions
	for _, a := range m.accounts {
		s := sessions[t.shardOf(a.name)]
		if a.session == s {
			continue
		}
		if a.share < 1 {
			s.throttled[a.name] = a
		}
		a.rebase(now)
		if a.session.active[a.name] != nil {
			s.active[a.name] = a
			s.urgent = true
		}
		a.session = s
	}
}

// Admit charges a request to an account. If it refuses the request, it returns when the account is expected to have
// room.
func (m *Meter) Admit(now time.Time, account string, l Limit) (bool, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[account]
	if a == nil {
		a = m.add(now, account, l)
	}
	a.use(now, l, m.topology)
	if a.admit(now, m.topology) {
		return true, 0
	}
	return false, a.retryAfter()
}

func (m *Meter) add(now time.Time, account string, l Limit) *meterAccount {
	a := newMeterAccount(now, m.self, account, l, m.sessions[m.topology.shardOf(account)], m.topology)
	m.accounts[account] = a
	return a
}

// Refund returns the charge of an admitted request that did not run. It reports whether the account is known.
func (m *Meter) Refund(_ time.Time, account string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[account]
	return a != nil && a.refund()
}

// Reports returns the reports to send now. Each must end with Apply or Fail.
func (m *Meter) Reports(now time.Time) []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Report
	for i, s := range m.sessions {
		if !s.due(now) {
			continue
		}
		r := Report{from: m.self, session: s.number, shard: i, coordinator: s.coordinator, sentAt: now}
		for _, name := range slices.Sorted(maps.Keys(s.active)) {
			a := s.active[name]
			if r.usages = append(r.usages, NewUsage(a.name, a.asked, a.admitted, a.withheld)); len(r.usages) == maxReportAccounts {
				break
			}
		}
		s.sent(now)
		out = append(out, r)
	}
	return out
}

// Apply applies the reply to a report.
func (m *Meter) Apply(now time.Time, r Report, grants []Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessionOf(r)
	if s == nil {
		return
	}
	s.answered(now)
	for _, u := range r.usages {
		if a := m.accounts[u.account]; a != nil {
			a.acknowledge(now, r.sentAt, u)
		}
	}
	named := make(map[string]bool, len(grants))
	for _, g := range grants {
		named[g.account] = true
		a := m.accounts[g.account]
		if a == nil {
			a = m.add(now, g.account, Limit{})
		}
		if a.session == s {
			a.grant(now, g)
		}
	}
	for name, a := range s.throttled {
		if a.share < 1 && !named[name] && a.grantedBy == s.number && len(grants) < maxHotGrants {
			a.open(m.topology)
		}
		if a.share >= 1 {
			delete(s.throttled, name)
		}
	}
}

// ApplyAnnouncement applies what a coordinator told all nodes.
func (m *Meter) ApplyAnnouncement(now time.Time, grants []Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range grants {
		a := m.accounts[g.account]
		switch {
		case a == nil && g.share < 1:
			a = m.add(now, g.account, Limit{})
			fallthrough
		case a != nil && g.share < 1:
			a.throttle(now, g)
		case a != nil && a.share < 1:
			a.open(m.topology)
		}
	}
}

// Fail records that a report was not answered.
func (m *Meter) Fail(_ time.Time, r Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessionOf(r); s != nil {
		s.waiting = false
	}
}

// sessionOf returns the session of a report, or nil if it has ended. It requires mu.
func (m *Meter) sessionOf(r Report) *session {
	if r.shard < len(m.sessions) && m.sessions[r.shard].number == r.session {
		return m.sessions[r.shard]
	}
	return nil
}

// Sweep frees the accounts that are no longer used.
func (m *Meter) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, a := range m.accounts {
		if now.Sub(a.lastUse) > forgetTime && (a.session.active[name] == nil || now.Sub(a.lastUse) > 4*forgetTime) {
			delete(a.session.active, name)
			delete(a.session.throttled, name)
			delete(m.accounts, name)
		}
	}
}

// Len returns the number of accounts in memory.
func (m *Meter) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.accounts)
}

// LastReplyAge returns the highest time since the first unanswered report of a shard, or zero if all are answered.
func (m *Meter) LastReplyAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var age time.Duration
	for _, s := range m.sessions {
		age = max(age, s.silence(now))
	}
	return age
}
