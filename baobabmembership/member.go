package baobabmembership

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// maxWarmMilliseconds is 10 years, far below the overflow of a duration.
const maxWarmMilliseconds = 10 * 365 * 24 * 3600 * 1000

// A Member is the record of one node. It is a value; copies share the labels, which must not be changed.
type Member struct {
	id            string
	peerAddress   string
	entryAddress  string
	failureDomain string
	region        string
	incarnation   uint64
	state         State
	endpoint      *Endpoint         // Nil without an upstream; never changed in place.
	labels        map[string]string // Never changed in place.
}

// NewMember returns the record of a node that is alive. The incarnation must be higher than that of any earlier
// process with the same id; see StartIncarnation.
func NewMember(id, peerAddress, entryAddress, failureDomain, region string, incarnation uint64) Member {
	return Member{
		id: id, peerAddress: peerAddress, entryAddress: entryAddress, failureDomain: failureDomain, region: region,
		incarnation: incarnation, state: StateAlive,
	}
}

// StartIncarnation returns an incarnation for a process that starts now. Changes raise it by 1, so it stays below
// that of the next process unless there is more than one change per millisecond or the clock was set back; the
// member then raises it once it hears of the earlier record.
func StartIncarnation(now time.Time) uint64 { return uint64(max(now.UnixMilli(), 1)) }

// MemberFromWire returns the record of a message that was received now.
func MemberFromWire(now time.Time, w *wire.Member) (Member, error) {
	m := Member{
		id: w.GetId(), peerAddress: w.GetPeerAddress(), entryAddress: w.GetEntryAddress(),
		failureDomain: intern(w.GetFailureDomain()), region: intern(w.GetRegion()),
		incarnation: w.GetIncarnation(), state: State(intern(w.GetState())),
	}
	if m.id == "" || m.failureDomain == "" {
		return Member{}, &Error{"read record", KindInvalid, fmt.Sprintf("id %q, failure domain %q", m.id, m.failureDomain)}
	}
	if m.state.rank() < 0 {
		return Member{}, &Error{"read record", KindInvalid, fmt.Sprintf("state %q of member %q", m.state, m.id)}
	}
	if e := w.GetEndpoint(); e != nil {
		state := EndpointState(intern(e.GetState()))
		if !state.valid() {
			return Member{}, &Error{"read record", KindInvalid, fmt.Sprintf("endpoint state %q of member %q", state, m.id)}
		}
		warm := min(max(e.GetWarmForMs(), 0), maxWarmMilliseconds)
		start := now.Add(-time.Duration(warm) * time.Millisecond)
		endpoint := NewEndpoint(intern(e.GetService()), e.GetUpstreamId(), e.GetSlots(), e.GetConnections(), state, start)
		m.endpoint = &endpoint
	}
	if len(w.GetLabels()) > 0 {
		m.labels = make(map[string]string, len(w.GetLabels()))
		for k, v := range w.GetLabels() {
			m.labels[intern(k)] = intern(v)
		}
	}
	return m, nil
}

// MembersFromWire returns the valid records of a message that was received now, and the number of invalid ones.
func MembersFromWire(now time.Time, list []*wire.Member) (members []Member, invalid int) {
	members = make([]Member, 0, len(list))
	for _, w := range list {
		m, err := MemberFromWire(now, w)
		if err != nil {
			invalid++
			continue
		}
		members = append(members, m)
	}
	return members, invalid
}

// MembersToWire returns the messages for records that are sent now.
func MembersToWire(now time.Time, list []Member) []*wire.Member {
	out := make([]*wire.Member, len(list))
	for i, m := range list {
		out[i] = m.Wire(now)
	}
	return out
}

// intern makes the records of thousands of members share the strings that repeat.
func intern(s string) string { return unique.Make(s).Value() }

// Wire returns the message for a record that is sent now.
func (m Member) Wire(now time.Time) *wire.Member {
	w := &wire.Member{
		Id: m.id, PeerAddress: m.peerAddress, EntryAddress: m.entryAddress, FailureDomain: m.failureDomain,
		Region: m.region, Incarnation: m.incarnation, State: string(m.state), Labels: m.labels,
	}
	if e := m.endpoint; e != nil {
		w.Endpoint = &wire.Endpoint{
			Service: e.service, Slots: e.slots, Connections: e.connections, State: string(e.state),
			WarmForMs: now.Sub(e.startTime).Milliseconds(), UpstreamId: e.upstreamID,
		}
	}
	return w
}

// ID returns the id of the node.
func (m Member) ID() string { return m.id }

// PeerAddress returns the address for links between nodes.
func (m Member) PeerAddress() string { return m.peerAddress }

// EntryAddress returns the address for callers.
func (m Member) EntryAddress() string { return m.entryAddress }

// FailureDomain returns the failure domain.
func (m Member) FailureDomain() string { return m.failureDomain }

// Region returns the region.
func (m Member) Region() string { return m.region }

// Incarnation returns the number that the member raises with every change of its record.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state of the member.
func (m Member) State() State { return m.state }

// Endpoint returns the upstream behind the member, if any.
func (m Member) Endpoint() (Endpoint, bool) {
	if m.endpoint == nil {
		return Endpoint{}, false
	}
	return *m.endpoint, true
}

// Labels returns the labels, which must not be changed.
func (m Member) Labels() map[string]string { return m.labels }

// SetEndpoint replaces the upstream behind the member.
func (m *Member) SetEndpoint(e Endpoint) { m.endpoint = &e }

// ClearEndpoint removes the upstream behind the member.
func (m *Member) ClearEndpoint() { m.endpoint = nil }

// SetLabels replaces the labels with a copy of l.
func (m *Member) SetLabels(l map[string]string) { m.labels = maps.Clone(l) }

// SetLeft marks a member that stops.
func (m *Member) SetLeft() { m.state = StateLeft }

// hash covers the whole record except the start time of the upstream, which depends on the reader's clock.
func (m Member) hash() uint64 {
	b := make([]byte, 0, 256)
	for _, s := range []string{m.id, m.peerAddress, m.entryAddress, m.failureDomain, m.region, string(m.state)} {
		b = appendString(b, s)
	}
	b = binary.AppendUvarint(b, m.incarnation)
	if e := m.endpoint; e != nil {
		b = appendString(b, e.service)
		b = appendString(b, e.upstreamID)
		b = appendString(b, string(e.state))
		b = binary.AppendUvarint(b, uint64(e.slots))
		b = binary.AppendUvarint(b, uint64(e.connections))
	}
	if len(m.labels) > 0 {
		for _, k := range slices.Sorted(maps.Keys(m.labels)) {
			b = appendString(b, k)
			b = appendString(b, m.labels[k])
		}
	}
	return xxhash.Sum64(b)
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}
