package baobabnode

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	route "github.com/baobabdale/baobabdale/baobabroute"
)

// members is the member table with its lock. After each change it rebuilds the endpoint index on the blackboard.
type members struct {
	board *blackboard.Board
	self  string

	mu     sync.Mutex
	table  *membership.Table     // Guarded by mu.
	places map[netip.Addr]string // Guarded by mu; failure domain by IP address of the peer address.
}

func newMembers(board *blackboard.Board, table *membership.Table) *members {
	return &members{board: board, self: table.Self().ID(), table: table}
}

// do runs f with the table locked and returns the changes that f made.
func (m *members) do(f func(*membership.Table) []membership.Change) []membership.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := f(m.table)
	if len(changes) > 0 {
		m.index()
	}
	return changes
}

// setSelf changes the own record.
func (m *members) setSelf(now time.Time, change func(*membership.Member)) membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetSelf(now, change)
	m.index()
	return m.table.Self()
}

// index requires mu.
func (m *members) index() {
	byService := make(map[string][]route.Candidate)
	m.places = make(map[netip.Addr]string)
	for _, v := range m.table.Members() {
		if a, err := netip.ParseAddrPort(v.PeerAddress()); err == nil {
			m.places[a.Addr()] = v.FailureDomain()
		}
		e, ok := v.Endpoint()
		if !ok || !takesCalls(e.State()) {
			continue
		}
		byService[e.Service()] = append(byService[e.Service()], toCandidate(v, e))
	}
	self := m.table.Self()
	sets := make(map[string]*route.Set, len(byService))
	for service, list := range byService {
		sets[service] = route.NewSet(service, self.FailureDomain(), self.Region(), list)
	}
	m.board.SetEndpoints(sets)
}

func (m *members) selfRecord() membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

func (m *members) live() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Members()
}

func (m *members) member(id string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Member(id)
}

func (m *members) ranked(purpose, domain string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Ranked(purpose, domain)
}

// domainOf returns the failure domain of the VM with an address, or an empty text.
func (m *members) domainOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.places[a.Addr()]
}

func (m *members) domains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Domains()
}

func (m *members) records(domains []string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Records(domains)
}

func (m *members) departed(failureDomain string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Departed(failureDomain)
}

func (m *members) digest() membership.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Digest()
}

// leads reports whether this node is among the first count members of its failure domain for a purpose.
func (m *members) leads(purpose string, count int) bool {
	list := m.ranked(purpose, m.selfRecord().FailureDomain())
	for i := range min(count, len(list)) {
		if list[i].ID() == m.self {
			return true
		}
	}
	return false
}

// random returns a random live member of a failure domain other than this node.
func (m *members) random(random *rand.Rand, domain string) (membership.Member, bool) {
	var list []membership.Member
	for _, v := range m.live() {
		if v.FailureDomain() == domain && v.ID() != m.self {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[random.IntN(len(list))], true
}

// exchangePartners is the number of members of the own failure domain with which a node exchanges. Each node has other
// partners, so that a record reaches all members in few rounds, and the links stay few in a large failure domain.
const exchangePartners = 8

// partner returns a random one of the members with which this node exchanges.
func (m *members) partner(random *rand.Rand) (membership.Member, bool) {
	var list []membership.Member
	for _, v := range m.ranked("exchange/"+m.self, m.selfRecord().FailureDomain()) {
		if v.ID() != m.self && len(list) < exchangePartners {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[random.IntN(len(list))], true
}

func takesCalls(s membership.EndpointState) bool {
	return s == membership.EndpointReady || s == membership.EndpointWarming
}

func toCandidate(m membership.Member, e membership.Endpoint) route.Candidate {
	return route.NewCandidate(m.ID(), m.PeerAddress(), m.FailureDomain(), m.Region(), int(e.Slots()), e.StartTime())
}
