package baobabmembership

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Table is a node's view of the members. It is not safe for concurrent use: one controller owns it and serves the
// reads of others.
type Table struct {
	self             *entry
	entries          map[string]*entry
	domains          map[string]*domain
	expiring         map[string]*entry // Suspect, dead and left entries, which Expire processes.
	health           localHealth
	suspicionTimeout time.Duration
	tombstoneTime    time.Duration
}

// NewTable returns a table that contains only the record of this node.
func NewTable(self Member, options ...Option) *Table {
	t := &Table{
		entries:          map[string]*entry{},
		domains:          map[string]*domain{},
		expiring:         map[string]*entry{},
		health:           localHealth{tickInterval: defaultTickInterval},
		suspicionTimeout: defaultSuspicionTimeout,
		tombstoneTime:    defaultTombstoneTime,
	}
	for _, o := range options {
		o(t)
	}
	self.state = StateAlive
	t.self = &entry{position: ringPosition(self.id)}
	t.entries[self.id] = t.self
	t.replaceRecord(t.self, self, time.Time{})
	return t
}

// replaceRecord replaces the record of an entry and updates the ring, the digest and the expiring entries.
func (t *Table) replaceRecord(e *entry, m Member, now time.Time) {
	t.removeFromDomain(e)
	stateChanged := e.member.state != m.state || e.member.incarnation != m.incarnation
	e.member = m
	e.hash = m.hash()
	if stateChanged {
		e.stateSince = now
	}
	if m.state.Live() {
		e.neverLive = false
		t.addToDomain(e)
	}
	if m.state == StateAlive || e == t.self {
		delete(t.expiring, m.id)
		return
	}
	t.expiring[m.id] = e
}

func (t *Table) addToDomain(e *entry) {
	d := t.domains[e.member.failureDomain]
	if d == nil {
		d = &domain{}
		t.domains[e.member.failureDomain] = d
	}
	d.sum += e.hash
	d.ring = slices.Insert(d.ring, d.index(e), e)
}

func (t *Table) removeFromDomain(e *entry) {
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

// Merge merges received records, in any order and any number of times, and returns the changes. A record replaces a
// known one with a lower incarnation or, at the same incarnation, with a state of lower precedence. A record that
// contradicts that of this node is refuted with a higher incarnation.
func (t *Table) Merge(now time.Time, records []Member) []Change {
	var changes []Change
	for _, m := range records {
		if m.id == "" || m.failureDomain == "" || m.state.precedence() < 0 {
			continue
		}
		var c Change
		var changed bool
		if m.id == t.self.member.id {
			c, changed = t.refute(now, m)
		} else {
			c, changed = t.mergeRecord(now, m)
		}
		if changed {
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Table) mergeRecord(now time.Time, m Member) (Change, bool) {
	e := t.entries[m.id]
	if e == nil {
		e = &entry{position: ringPosition(m.id), neverLive: !m.state.Live()}
		t.entries[m.id] = e
		t.replaceRecord(e, m, now)
		if e.neverLive {
			return Change{}, false
		}
		return Change{changeKind("", m.state), m}, true
	}
	if !supersedes(m, e) {
		return Change{}, false
	}
	before := e.member.state
	t.replaceRecord(e, m, now)
	if !before.Live() && !m.state.Live() {
		return Change{}, false
	}
	return Change{changeKind(before, m.state), m}, true
}

// supersedes reports whether a record replaces that of an entry. Different records with the same incarnation and state
// come from two processes with the same id; the hash makes all tables keep the same one until the member refutes it.
func supersedes(m Member, e *entry) bool {
	if m.incarnation != e.member.incarnation {
		return m.incarnation > e.member.incarnation
	}
	if m.state != e.member.state {
		return m.state.precedence() > e.member.state.precedence()
	}
	return m.hash() > e.hash
}

// refute raises this node's incarnation above that of a record with its id that this process did not write.
func (t *Table) refute(now time.Time, m Member) (Change, bool) {
	own := t.self.member
	if m.incarnation < own.incarnation || own.state == StateLeft {
		return Change{}, false
	}
	if m.incarnation == own.incarnation && m.hash() == t.self.hash {
		return Change{}, false
	}
	own.incarnation = m.incarnation + 1
	t.replaceRecord(t.self, own, now)
	return Change{ChangeRefuted, own}, true
}

// Suspect marks an alive member as suspect, after its direct and indirect probes have failed.
func (t *Table) Suspect(now time.Time, id string) []Change {
	e := t.entries[id]
	if e == nil || e == t.self || e.member.state != StateAlive {
		return nil
	}
	m := e.member
	m.state = StateSuspect
	t.replaceRecord(e, m, now)
	return []Change{{ChangeSuspected, m}}
}

// RecordProbeRound records a finished round of this node's probes: the number of targets probed, and the number for
// which neither the target nor any relay answered. When that is more than half, this node is probably isolated and
// waits longer before it declares a suspect dead.
func (t *Table) RecordProbeRound(sent, unanswered int) { t.health.recordProbeRound(sent, unanswered) }

// SuspicionTimeout returns the current time from suspicion to death.
func (t *Table) SuspicionTimeout() time.Duration { return t.health.scaledTimeout(t.suspicionTimeout) }

// Expire must be called at the tick interval. It declares members dead that were suspect for the suspicion timeout, and
// removes dead and left members after the tombstone time. Time in which this process was paused does not count towards
// the suspicion timeout, because refutations could not arrive.
func (t *Table) Expire(now time.Time) []Change {
	if pause := t.health.recordTick(now); pause != 0 {
		for _, e := range t.expiring {
			if e.member.state == StateSuspect {
				e.stateSince = earlier(e.stateSince.Add(pause), now)
			}
		}
	}
	var changes []Change
	for id, e := range t.expiring {
		age := now.Sub(e.stateSince)
		switch {
		case e.member.state == StateSuspect && age >= t.SuspicionTimeout():
			m := e.member
			m.state = StateDead
			t.replaceRecord(e, m, now)
			changes = append(changes, Change{ChangeDied, m})
		case e.member.state != StateSuspect && age >= t.tombstoneTime:
			delete(t.expiring, id)
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

// UpdateSelf changes the record of this node and raises its incarnation. Changes to the id, the failure domain and the
// incarnation are ignored.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) {
	own := t.self.member
	change(&own)
	own.id, own.failureDomain = t.self.member.id, t.self.member.failureDomain
	own.incarnation = t.self.member.incarnation + 1
	t.replaceRecord(t.self, own, now)
}

// Self returns the record of this node.
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

// Departed returns the dead and left members of a failure domain that have not been removed yet, sorted by id.
func (t *Table) Departed(failureDomain string) []Member {
	return t.collect(func(e *entry) bool { return !e.member.state.Live() && e.member.failureDomain == failureDomain })
}

// Records returns the records to send to other nodes, sorted by id, including dead and left ones. An empty list of
// failure domains means all.
func (t *Table) Records(domains []string) []Member {
	return t.collect(func(e *entry) bool {
		return !e.neverLive && (len(domains) == 0 || slices.Contains(domains, e.member.failureDomain))
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

// Digest returns the digest of the live records.
func (t *Table) Digest() Digest {
	d := Digest{domains: make([]domainDigest, 0, len(t.domains))}
	for name, v := range t.domains {
		d.domains = append(d.domains, domainDigest{domain: name, sum: v.sum})
	}
	slices.SortFunc(d.domains, func(a, b domainDigest) int { return cmp.Compare(a.domain, b.domain) })
	return d
}

// ProbeTargets returns up to 3 live members that follow this node on the ring of its failure domain.
func (t *Table) ProbeTargets() []Member {
	d := t.domains[t.self.member.failureDomain]
	if d == nil || !t.self.member.state.Live() {
		return nil
	}
	own := d.index(t.self)
	var out []Member
	for i := 1; i < len(d.ring) && len(out) < probeTargetCount; i++ {
		out = append(out, d.ring[(own+i)%len(d.ring)].member)
	}
	return out
}

// ProbeRelays returns up to 2 alive members of a member's failure domain through which it can be probed indirectly.
func (t *Table) ProbeRelays(id string) []Member {
	e := t.entries[id]
	if e == nil {
		return nil
	}
	var out []Member
	for _, m := range t.RendezvousOrder(id, e.member.failureDomain) {
		if m.id == id || m.id == t.self.member.id || m.state != StateAlive {
			continue
		}
		if out = append(out, m); len(out) == relayCount {
			break
		}
	}
	return out
}

// DutyOrder returns the live members of a failure domain in the order in which they take on a duty whose messages are large:
// those with faster links first, members with equally fast ones in rendezvous order for the duty.
func (t *Table) DutyOrder(duty, failureDomain string) []Member {
	list := t.RendezvousOrder(duty, failureDomain)
	slices.SortStableFunc(list, func(a, b Member) int { return cmp.Compare(b.linkBytes, a.linkBytes) })
	return list
}

// RendezvousOrder returns the live members of a failure domain, or of all domains when it is empty, in descending order
// of their rendezvous hash for the key. Nodes with equal tables agree on the order, and a change of one member does not
// reorder the others.
func (t *Table) RendezvousOrder(key, failureDomain string) []Member {
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
			buffer = appendString(buffer[:0], key)
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

// entriesInRange returns the entries in a range, in ring order from its start.
func (t *Table) entriesInRange(r HashRange) []*entry {
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

// Count returns the number of live members, and the number of live members and those that died within a time before now.
// Members that left are in neither.
func (t *Table) Count(now time.Time, within time.Duration) (live, known int) {
	for _, e := range t.entries {
		switch {
		case e.member.state.Live():
			live++
			known++
		case e.member.state == StateDead && !e.neverLive && now.Sub(e.stateSince) < within:
			known++
		}
	}
	return live, known
}
