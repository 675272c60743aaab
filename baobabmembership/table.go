package baobabmembership

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Table is the view that a node has of the members. It is not safe for concurrent use: one controller owns it and
// hands out what others read.
type Table struct {
	self      *entry
	entries   map[string]*entry
	domains   map[string]*domain
	pending   map[string]*entry // Suspect, dead and left entries.
	guard     guard
	suspicion time.Duration
	tombstone time.Duration
}

// NewTable returns a table with only the own record.
func NewTable(self Member, options ...Option) *Table {
	t := &Table{
		entries:   map[string]*entry{},
		domains:   map[string]*domain{},
		pending:   map[string]*entry{},
		guard:     guard{interval: defaultTickInterval},
		suspicion: defaultSuspicionTimeout,
		tombstone: defaultTombstoneTime,
	}
	for _, o := range options {
		o(t)
	}
	self.state = StateAlive
	t.self = &entry{position: position(self.id)}
	t.entries[self.id] = t.self
	t.set(t.self, self, time.Time{})
	return t
}

// set replaces the record of an entry and maintains the ring, the digest and the pending entries.
func (t *Table) set(e *entry, m Member, now time.Time) {
	t.unlink(e)
	fresh := e.member.state != m.state || e.member.incarnation != m.incarnation
	e.member = m
	e.hash = m.hash()
	if fresh {
		e.since = now
	}
	if m.state.Live() {
		e.hearsay = false
		t.link(e)
	}
	if m.state == StateAlive || e == t.self {
		delete(t.pending, m.id)
		return
	}
	t.pending[m.id] = e
}

func (t *Table) link(e *entry) {
	d := t.domains[e.member.failureDomain]
	if d == nil {
		d = &domain{}
		t.domains[e.member.failureDomain] = d
	}
	d.sum += e.hash
	d.ring = slices.Insert(d.ring, d.index(e), e)
}

func (t *Table) unlink(e *entry) {
	d := t.domains[e.member.failureDomain]
	if d == nil || !e.member.state.Live() {
		return
	}
	d.sum -= e.hash
	i := d.index(e)
	d.ring = slices.Delete(d.ring, i, i+1)
	if len(d.ring) == 0 {
		delete(t.domains, e.member.failureDomain)
	}
}

// Merge takes records that were received, in any order and any number of times, and returns what has changed. A
// record replaces a known one with a lower incarnation or, at the same incarnation, with a state of lower
// precedence. A record that contradicts the own one is refuted with a higher incarnation.
func (t *Table) Merge(now time.Time, records []Member) []Change {
	var changes []Change
	for _, m := range records {
		if m.id == "" || m.failureDomain == "" || m.state.rank() < 0 {
			continue
		}
		var c Change
		var changed bool
		if m.id == t.self.member.id {
			c, changed = t.refute(now, m)
		} else {
			c, changed = t.merge(now, m)
		}
		if changed {
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Table) merge(now time.Time, m Member) (Change, bool) {
	e := t.entries[m.id]
	if e == nil {
		e = &entry{position: position(m.id), hearsay: !m.state.Live()}
		t.entries[m.id] = e
		t.set(e, m, now)
		if e.hearsay {
			return Change{}, false
		}
		return Change{changeKind("", m.state), m}, true
	}
	if !supersedes(m, e) {
		return Change{}, false
	}
	before := e.member.state
	t.set(e, m, now)
	if !before.Live() && !m.state.Live() {
		return Change{}, false
	}
	return Change{changeKind(before, m.state), m}, true
}

// supersedes reports whether a record replaces that of an entry. Two different records with the same incarnation and
// state come from two processes with one id; all tables then keep the same one until the member refutes it.
func supersedes(m Member, e *entry) bool {
	if m.incarnation != e.member.incarnation {
		return m.incarnation > e.member.incarnation
	}
	if m.state != e.member.state {
		return m.state.rank() > e.member.state.rank()
	}
	return m.hash() > e.hash
}

// refute raises the own incarnation above a record of this member that this process did not write.
func (t *Table) refute(now time.Time, m Member) (Change, bool) {
	own := t.self.member
	if m.incarnation < own.incarnation || own.state == StateLeft {
		return Change{}, false
	}
	if m.incarnation == own.incarnation && m.hash() == t.self.hash {
		return Change{}, false
	}
	own.incarnation = m.incarnation + 1
	t.set(t.self, own, now)
	return Change{ChangeRefuted, own}, true
}

// Suspect marks a member whose direct and indirect probes have failed.
func (t *Table) Suspect(now time.Time, id string) []Change {
	e := t.entries[id]
	if e == nil || e == t.self || e.member.state != StateAlive {
		return nil
	}
	m := e.member
	m.state = StateSuspect
	t.set(e, m, now)
	return []Change{{ChangeSuspected, m}}
}

// Probed records a finished round of own probes: how many targets were probed, and for how many neither the target
// nor any relay answered. When that is more than half, this node is probably cut off, and it waits longer before it
// declares a suspect dead.
func (t *Table) Probed(sent, unanswered int) { t.guard.probed(sent, unanswered) }

// SuspicionTimeout returns the time from suspicion to death that applies at present.
func (t *Table) SuspicionTimeout() time.Duration { return t.guard.timeout(t.suspicion) }

// Expire is called at the tick interval. It declares members dead that were suspect for the suspicion timeout, and
// forgets dead and left members after the tombstone time. Time in which this process was paused does not count as
// time of suspicion, because refutations could not arrive.
func (t *Table) Expire(now time.Time) []Change {
	if pause := t.guard.tick(now); pause != 0 {
		for _, e := range t.pending {
			if e.member.state == StateSuspect {
				e.since = earlier(e.since.Add(pause), now)
			}
		}
	}
	var changes []Change
	for id, e := range t.pending {
		age := now.Sub(e.since)
		switch {
		case e.member.state == StateSuspect && age >= t.SuspicionTimeout():
			m := e.member
			m.state = StateDead
			t.set(e, m, now)
			changes = append(changes, Change{ChangeDied, m})
		case e.member.state != StateSuspect && age >= t.tombstone:
			delete(t.pending, id)
			delete(t.entries, id)
			changes = append(changes, Change{ChangeForgotten, e.member})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].member.id < changes[j].member.id })
	return changes
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// SetSelf changes the own record and raises its incarnation. Id, failure domain and incarnation cannot be changed.
func (t *Table) SetSelf(now time.Time, change func(*Member)) {
	own := t.self.member
	change(&own)
	own.id, own.failureDomain = t.self.member.id, t.self.member.failureDomain
	own.incarnation = t.self.member.incarnation + 1
	t.set(t.self, own, now)
}

// Self returns the own record.
func (t *Table) Self() Member { return t.self.member }

// Member returns the record of a member, which may be dead or left.
func (t *Table) Member(id string) (Member, bool) {
	e := t.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

// Members returns the live members, sorted by id, including this node unless it has left.
func (t *Table) Members() []Member {
	return t.collect(func(e *entry) bool { return e.member.state.Live() })
}

// Departed returns the dead and left members of a failure domain, sorted by id, until they are forgotten.
func (t *Table) Departed(failureDomain string) []Member {
	return t.collect(func(e *entry) bool { return !e.member.state.Live() && e.member.failureDomain == failureDomain })
}

// Records returns the records of failure domains for other nodes, sorted by id, including dead and left ones. No
// domains means all.
func (t *Table) Records(domains []string) []Member {
	return t.collect(func(e *entry) bool {
		return !e.hearsay && (len(domains) == 0 || slices.Contains(domains, e.member.failureDomain))
	})
}

func (t *Table) collect(keep func(*entry) bool) []Member {
	var out []Member
	for _, e := range t.entries {
		if keep(e) {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.id, b.id) })
	return out
}

// Domains returns the failure domains with live members, sorted.
func (t *Table) Domains() []string {
	out := make([]string, 0, len(t.domains))
	for name := range t.domains {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Digest returns the summary of the live records.
func (t *Table) Digest() Digest {
	d := Digest{domains: make([]domainDigest, 0, len(t.domains))}
	for name, v := range t.domains {
		d.domains = append(d.domains, domainDigest{domain: name, sum: v.sum})
	}
	slices.SortFunc(d.domains, func(a, b domainDigest) int { return cmp.Compare(a.domain, b.domain) })
	return d
}

// ProbeTargets returns the 3 live members that follow this node on the ring of its failure domain, or fewer.
func (t *Table) ProbeTargets() []Member {
	d := t.domains[t.self.member.failureDomain]
	if d == nil || !t.self.member.state.Live() {
		return nil
	}
	own := d.index(t.self)
	var out []Member
	for i := 1; i < len(d.ring) && len(out) < probeTargets; i++ {
		out = append(out, d.ring[(own+i)%len(d.ring)].member)
	}
	return out
}

// Relays returns 2 members through which a member of the same failure domain can be probed, or fewer.
func (t *Table) Relays(id string) []Member {
	e := t.entries[id]
	if e == nil {
		return nil
	}
	var out []Member
	for _, m := range t.Ranked(id, e.member.failureDomain) {
		if m.id == id || m.id == t.self.member.id || m.state != StateAlive {
			continue
		}
		if out = append(out, m); len(out) == relays {
			break
		}
	}
	return out
}

// Ranked returns the live members of a failure domain, or of all for an empty one, by their rendezvous hash for a
// purpose. Nodes with equal tables agree on the order, and a change of one member does not reorder the others.
func (t *Table) Ranked(purpose, failureDomain string) []Member {
	type scored struct {
		score uint64
		entry *entry
	}
	var list []scored
	var buffer []byte
	for name, d := range t.domains {
		if failureDomain != "" && name != failureDomain {
			continue
		}
		for _, e := range d.ring {
			buffer = appendString(buffer[:0], purpose)
			buffer = appendString(buffer, e.member.id)
			list = append(list, scored{xxhash.Sum64(buffer), e})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.entry.member.id, b.entry.member.id)
	})
	out := make([]Member, len(list))
	for i, s := range list {
		out[i] = s.entry.member
	}
	return out
}

// within returns the entries in a range, in ring order from its start.
func (t *Table) within(r Range) []*entry {
	d := t.domains[r.domain]
	if d == nil {
		return nil
	}
	n := len(d.ring)
	first, _ := slices.BinarySearchFunc(d.ring, r.start, func(e *entry, p uint64) int {
		return cmp.Compare(e.position, p)
	})
	var out []*entry
	for i := range n {
		e := d.ring[(first+i)%n]
		if !r.contains(e.position) {
			break
		}
		out = append(out, e)
	}
	return out
}
