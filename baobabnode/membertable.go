package baobabnode

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// memberTable is a membership table that is safe for concurrent use. After each change it rebuilds the endpoint index
// on the blackboard.
type memberTable struct {
	board *blackboard.Board
	self  string

	mu          sync.Mutex
	table       *membership.Table     // Guarded by mu.
	domainsByIP map[netip.Addr]string // Guarded by mu; failure domains by the IP address of the peer address.
	leaving     map[string]time.Time  // Guarded by mu; start times of upstreams that said here that they leave, by id.
}

const (
	// maxLeavingUpstreams is the number of upstreams that are remembered as leaving. Beyond it, the members that announce
	// them are relied upon.
	maxLeavingUpstreams = 1024
	// leavingTolerance is how much the start times of one process may differ between two records.
	leavingTolerance = 500 * time.Millisecond
)

// recordLeaving excludes the upstream of a member from new calls of this node, also when the member forgets with a restart
// that the upstream leaves.
func (m *memberTable) recordLeaving(memberID, upstreamID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.table.Member(memberID)
	if !ok {
		return
	}
	e, ok := v.Endpoint()
	if !ok || e.UpstreamID() != upstreamID || m.isLeaving(e) {
		return
	}
	if len(m.leaving) >= maxLeavingUpstreams {
		clear(m.leaving)
	}
	m.leaving[upstreamID] = e.StartTime()
	m.rebuildIndex()
}

// isLeaving reports whether the upstream of an endpoint said to this node that it leaves. It requires mu.
func (m *memberTable) isLeaving(e membership.Endpoint) bool {
	startTime, ok := m.leaving[e.UpstreamID()]
	return ok && e.StartTime().Sub(startTime) <= leavingTolerance
}

func newMemberTable(board *blackboard.Board, table *membership.Table) *memberTable {
	return &memberTable{board: board, self: table.Self().ID(), table: table, leaving: map[string]time.Time{}}
}

// withTable runs f with the table locked and returns the changes that f made.
func (m *memberTable) withTable(f func(*membership.Table) []membership.Change) []membership.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := f(m.table)
	if len(changes) > 0 {
		m.rebuildIndex()
	}
	return changes
}

// updateSelf changes this node's record and returns it.
func (m *memberTable) updateSelf(now time.Time, change func(*membership.Member)) membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.UpdateSelf(now, change)
	m.rebuildIndex()
	return m.table.Self()
}

// rebuildIndex rebuilds the endpoint index and the failure domains by IP address. It requires mu.
func (m *memberTable) rebuildIndex() {
	byService := make(map[string][]route.Candidate)
	m.domainsByIP = make(map[netip.Addr]string)
	for _, v := range m.table.Members() {
		if a, err := netip.ParseAddrPort(v.PeerAddress()); err == nil {
			m.domainsByIP[a.Addr()] = v.FailureDomain()
		}
		e, ok := v.Endpoint()
		if !ok || !acceptsCalls(e.State()) || e.Leaving() || m.isLeaving(e) {
			continue
		}
		byService[e.Service()] = append(byService[e.Service()], toCandidate(v, e))
	}
	self := m.table.Self()
	sets := make(map[string]*route.CandidateSet, len(byService))
	for service, list := range byService {
		sets[service] = route.NewCandidateSet(service, self.FailureDomain(), self.Region(), list)
	}
	m.board.SetEndpoints(sets)
}

func (m *memberTable) selfRecord() membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

func (m *memberTable) liveMembers() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Members()
}

func (m *memberTable) member(id string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Member(id)
}

// rendezvousOrder returns the live members of a failure domain in descending order of their rendezvous hash for a key.
func (m *memberTable) rendezvousOrder(key, domain string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.RendezvousOrder(key, domain)
}

// headOrder returns the live members of a failure domain in the order in which they follow the head at the source.
func (m *memberTable) headOrder(domain string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.DutyOrder(headDuty, domain)
}

// headPosition returns the position of this node among the members of its failure domain that follow the head.
func (m *memberTable) headPosition() int {
	return m.position(m.headOrder(m.selfRecord().FailureDomain()))
}

// count returns the number of live members, and of live members and those that died within a time before now.
func (m *memberTable) count(now time.Time, within time.Duration) (live, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Count(now, within)
}

// domainOf returns the failure domain of the VM with the given address, or an empty string if it is unknown.
func (m *memberTable) domainOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.domainsByIP[a.Addr()]
}

func (m *memberTable) domains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Domains()
}

func (m *memberTable) records(domains []string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Records(domains)
}

func (m *memberTable) departed(failureDomain string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Departed(failureDomain)
}

func (m *memberTable) digest() membership.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Digest()
}

// hasRole reports whether this node is among the first count members of its failure domain for a role.
func (m *memberTable) hasRole(role string, count int) bool { return m.rolePosition(role) < count }

// rolePosition returns the position of this node in the order of its failure domain for a role.
func (m *memberTable) rolePosition(role string) int {
	return m.position(m.rendezvousOrder(role, m.selfRecord().FailureDomain()))
}

// position returns the position of this node in an order, or the length of the order if it is not in it.
func (m *memberTable) position(order []membership.Member) int {
	i := slices.IndexFunc(order, func(v membership.Member) bool { return v.ID() == m.self })
	if i < 0 {
		return len(order)
	}
	return i
}

// randomMember returns a random live member of a failure domain other than this node.
func (m *memberTable) randomMember(random *rand.Rand, domain string) (membership.Member, bool) {
	var list []membership.Member
	for _, v := range m.liveMembers() {
		if v.FailureDomain() == domain && v.ID() != m.self {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[random.IntN(len(list))], true
}

// exchangePartners is the number of members of its failure domain with which a node exchanges records. Each node has
// different partners, so that a record reaches all members in few rounds, while the number of links stays small in a
// large failure domain.
const exchangePartners = 8

// exchangePartner returns a random one of the exchange partners of this node.
func (m *memberTable) exchangePartner(random *rand.Rand) (membership.Member, bool) {
	var list []membership.Member
	for _, v := range m.rendezvousOrder("exchange/"+m.self, m.selfRecord().FailureDomain()) {
		if v.ID() != m.self && len(list) < exchangePartners {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[random.IntN(len(list))], true
}

func acceptsCalls(s membership.EndpointState) bool {
	return s == membership.EndpointReady || s == membership.EndpointWarming
}

func toCandidate(m membership.Member, e membership.Endpoint) route.Candidate {
	return route.NewCandidate(m.ID(), m.PeerAddress(), m.FailureDomain(), m.Region(), int(e.Slots()), e.StartTime())
}
