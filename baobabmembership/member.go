package baobabmembership

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// maxUpstreamAgeMilliseconds is 10 years; the limit keeps the conversion to a time.Duration from overflowing.
const maxUpstreamAgeMilliseconds = 10 * 365 * 24 * 3600 * 1000

// A Member is the record of one node. Copies share the labels, which must not be modified.
type Member struct {
	id            string
	peerAddress   string
	entryAddress  string
	failureDomain string
	region        string
	incarnation   uint64
	state         State
	endpoint      *Endpoint         // Nil without an upstream; never modified in place.
	labels        map[string]string // Never modified in place.
	linkBytes     uint64            // Speed of the VM's link in bytes per second; 0: unknown.
}

// NewMember returns the record of an alive node. The incarnation must be higher than that of any earlier process with
// the same id; see InitialIncarnation.
func NewMember(id, peerAddress, entryAddress, failureDomain, region string, incarnation uint64) Member {
	return Member{
		id: id, peerAddress: peerAddress, entryAddress: entryAddress, failureDomain: failureDomain, region: region,
		incarnation: incarnation, state: StateAlive,
	}
}

// WithLinkSpeed returns the record with the speed of the VM's link in bytes per second; 0 means that it is not known.
func (m Member) WithLinkSpeed(bytesPerSecond uint64) Member {
	m.linkBytes = bytesPerSecond
	return m
}

// InitialIncarnation returns the Unix time in milliseconds as the incarnation of a process that starts now. Each change
// raises it by 1, so it stays below that of the next process unless there is more than one change per millisecond or
// the clock was set back. In that case the member raises its incarnation when it receives the earlier record.
func InitialIncarnation(now time.Time) uint64 { return uint64(max(now.UnixMilli(), 1)) }

// MemberFromWire decodes a record that was received now. Invalid records return an Error of KindInvalid.
func MemberFromWire(now time.Time, w *wire.Member) (Member, error) {
	m := Member{
		id: w.GetId(), peerAddress: w.GetPeerAddress(), entryAddress: w.GetEntryAddress(),
		failureDomain: intern(w.GetFailureDomain()), region: intern(w.GetRegion()),
		incarnation: w.GetIncarnation(), state: State(intern(w.GetState())), linkBytes: w.GetLinkBytes(),
	}
	if m.id == "" || m.failureDomain == "" {
		return Member{}, &Error{"decode member", KindInvalid, fmt.Sprintf(
			"missing id or failure domain: id %q, failure domain %q", m.id, m.failureDomain)}
	}
	if m.state.precedence() < 0 {
		return Member{}, &Error{"decode member", KindInvalid, fmt.Sprintf("unknown state %q of member %q", m.state, m.id)}
	}
	if e := w.GetEndpoint(); e != nil {
		state := EndpointState(intern(e.GetState()))
		if !state.isValid() {
			return Member{}, &Error{"decode member", KindInvalid, fmt.Sprintf(
				"unknown endpoint state %q of member %q", state, m.id)}
		}
		age := min(max(e.GetWarmForMs(), 0), maxUpstreamAgeMilliseconds)
		start := now.Add(-time.Duration(age) * time.Millisecond)
		endpoint := NewEndpoint(intern(e.GetService()), e.GetUpstreamId(), e.GetSlots(), e.GetConnections(), state, start)
		if e.RequestLimit != nil {
			endpoint.requestLimit = max(e.GetRequestLimit(), 0)
		}
		endpoint.leaving = e.GetLeaving()
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

// MembersFromWire decodes records that were received now. It skips invalid ones and returns their number.
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

// MembersToWire encodes records that are sent now.
func MembersToWire(now time.Time, list []Member) []*wire.Member {
	out := make([]*wire.Member, len(list))
	for i, m := range list {
		out[i] = m.Wire(now)
	}
	return out
}

// intern lets the records of thousands of members share the memory of repeated strings.
func intern(s string) string { return unique.Make(s).Value() }

// Wire encodes a record that is sent now.
func (m Member) Wire(now time.Time) *wire.Member {
	w := &wire.Member{
		Id: m.id, PeerAddress: m.peerAddress, EntryAddress: m.entryAddress, FailureDomain: m.failureDomain,
		Region: m.region, Incarnation: m.incarnation, State: string(m.state), Labels: m.labels, LinkBytes: m.linkBytes,
	}
	if e := m.endpoint; e != nil {
		w.Endpoint = &wire.Endpoint{
			Service: e.service, Slots: e.slots, Connections: e.connections, State: string(e.state),
			WarmForMs: now.Sub(e.startTime).Milliseconds(), UpstreamId: e.upstreamID, Leaving: e.leaving,
		}
		if e.requestLimit >= 0 {
			w.Endpoint.RequestLimit = &e.requestLimit
		}
	}
	return w
}

// ID returns the id of the node.
func (m Member) ID() string { return m.id }

// PeerAddress returns the address on which the node accepts links from other nodes.
func (m Member) PeerAddress() string { return m.peerAddress }

// EntryAddress returns the address on which the node accepts calls.
func (m Member) EntryAddress() string { return m.entryAddress }

// FailureDomain returns the failure domain.
func (m Member) FailureDomain() string { return m.failureDomain }

// Region returns the region.
func (m Member) Region() string { return m.region }

// Incarnation returns the version number of the record, which the member raises with every change.
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

// LinkSpeed returns the speed of the VM's link in bytes per second, or 0 if it is not known.
func (m Member) LinkSpeed() uint64 { return m.linkBytes }

// Labels returns the labels, which must not be modified.
func (m Member) Labels() map[string]string { return m.labels }

// SetEndpoint replaces the upstream behind the member.
func (m *Member) SetEndpoint(e Endpoint) { m.endpoint = &e }

// ClearEndpoint removes the upstream behind the member.
func (m *Member) ClearEndpoint() { m.endpoint = nil }

// SetLabels replaces the labels with a copy of l.
func (m *Member) SetLabels(l map[string]string) { m.labels = maps.Clone(l) }

// SetLeft marks the member as left, for a planned shutdown.
func (m *Member) SetLeft() { m.state = StateLeft }

// hash covers the whole record except the start time of the upstream, which depends on the local clock.
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
		if e.requestLimit >= 0 || e.leaving {
			b = binary.AppendUvarint(b, math.Float64bits(e.requestLimit))
			b = strconv.AppendBool(b, e.leaving)
		}
	}
	if m.linkBytes > 0 {
		b = binary.AppendUvarint(b, m.linkBytes)
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
