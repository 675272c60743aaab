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
	seenAt   time.Time                // Guarded by mu; when this process last ran.
}

// NewMeter returns a meter for the node with the given id. The number of its first session must differ from those of
// earlier processes with that id; the start time in nanoseconds is suitable.
func NewMeter(self string, firstSession uint64) *Meter {
	m := &Meter{self: self, accounts: map[string]*meterAccount{}, series: firstSession}
	m.SetTopology(time.Time{}, NewTopology([][]string{{self}}, 1, 1))
	return m
}

// SetTopology replaces the view of who coordinates which accounts.
func (m *Meter) SetTopology(_ time.Time, t Topology) {
	m.mu.Lock()
	defer m.mu.Unlock()
	resharded := len(t.candidates) != len(m.topology.candidates)
	before := m.topology
	m.topology = t
	sessions := make([]*session, len(t.candidates))
	for i, list := range t.candidates {
		if !resharded && i < len(m.sessions) && staysWith(m.sessions[i].coordinator, before.candidates[i], list) {
			sessions[i] = m.sessions[i]
			continue
		}
		m.series++
		sessions[i] = newSession(list[0], m.series)
	}
	m.replaceSessions(sessions)
}

// staysWith reports whether a node goes on reporting to a candidate after the list of candidates has changed: while it is the
// first one, or takes the place of the same first one.
func staysWith(candidate string, before, after []string) bool {
	return candidate == after[0] || before[0] == after[0] && slices.Contains(after, candidate)
}

// replaceSessions moves all accounts to new sessions, by shard. It requires mu.
func (m *Meter) replaceSessions(sessions []*session) {
	m.sessions = sessions
	for _, a := range m.accounts {
		s := sessions[m.topology.shardOf(a.name)]
		if a.session == s {
			continue
		}
		if a.share < 1 {
			s.throttled[a.name] = a
		}
		a.rebase()
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
	m.observeTime(now)
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

// observeTime ends the grants from before a pause of this process, in which the coordinators have granted the rest to others. It
// requires mu.
func (m *Meter) observeTime(now time.Time) {
	absence, started := now.Sub(m.seenAt), !m.seenAt.IsZero()
	m.seenAt = now
	if started && absence > PauseLimit {
		m.resume(now)
	}
}

// Resume ends the grants from before a pause that the clock does not show, such as one of the whole VM.
func (m *Meter) Resume(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resume(now)
}

// resume ends all grants. It requires mu.
func (m *Meter) resume(now time.Time) {
	for _, a := range m.accounts {
		a.budget = min(a.budget, 1)
		a.refillAt = now
	}
	for _, s := range m.sessions {
		s.urgent = true
	}
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
	m.observeTime(now)
	var out []Report
	for i, s := range m.sessions {
		if !s.due(now, m.self) {
			continue
		}
		r := Report{from: m.self, session: s.number, shard: i, coordinator: s.coordinator, sentAt: now}
		for _, name := range slices.Sorted(maps.Keys(s.active)) {
			a := s.active[name]
			if r.usages = append(r.usages, a.usage(now)); len(r.usages) == maxReportAccounts {
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

// Fail records that a report was not answered. The node turns to the next candidate, whose id is returned; it is empty if there is
// none.
func (m *Meter) Fail(_ time.Time, r Report) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessionOf(r)
	if s == nil {
		return ""
	}
	s.waiting = false
	list := m.topology.candidates[r.shard]
	next := list[(slices.Index(list, s.coordinator)+1)%len(list)]
	if next == s.coordinator {
		return ""
	}
	m.turnTo(r.shard, next)
	return next
}

// Refuse records that a candidate did not take a report, because it reaches one before it, to which the node turns.
func (m *Meter) Refuse(_ time.Time, r Report, earlier string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessionOf(r); s != nil {
		s.waiting = false
		m.turnTo(r.shard, earlier)
	}
}

// turnTo makes a candidate the coordinator of a shard for this node. It requires mu.
func (m *Meter) turnTo(shard int, candidate string) {
	old := m.sessions[shard]
	if old.coordinator == candidate {
		return
	}
	m.series++
	sessions := slices.Clone(m.sessions)
	sessions[shard] = newFailoverSession(old, candidate, m.series)
	m.replaceSessions(sessions)
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
