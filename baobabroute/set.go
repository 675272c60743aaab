package baobabroute

import "slices"

// Distances of an endpoint from the choosing node.
const (
	tierDomain = iota // Same failure domain.
	tierRegion        // Same region.
	tierFar
	tiers
)

// A Set holds the endpoints of one service, sorted by distance from the choosing node. It is immutable; build it
// when membership changes, not per call.
type Set struct {
	service    string
	candidates []Candidate // Sorted by id.
	index      map[string]int
	tiers      [tiers][]int // Indexes into candidates.
}

// NewSet returns the set of a service's endpoints as seen from a node in the given failure domain and region.
func NewSet(service, failureDomain, region string, candidates []Candidate) *Set {
	s := &Set{service: service, candidates: slices.Clone(candidates), index: make(map[string]int, len(candidates))}
	slices.SortFunc(s.candidates, func(a, b Candidate) int {
		if a.id < b.id {
			return -1
		}
		if a.id > b.id {
			return 1
		}
		return 0
	})
	s.candidates = slices.CompactFunc(s.candidates, func(a, b Candidate) bool { return a.id == b.id })
	for i, c := range s.candidates {
		s.index[c.id] = i
		t := tierFar
		switch {
		case c.failureDomain == failureDomain:
			t = tierDomain
		case c.region == region:
			t = tierRegion
		}
		s.tiers[t] = append(s.tiers[t], i)
	}
	return s
}

// Service returns the name of the service.
func (s *Set) Service() string { return s.service }

// Len returns the number of endpoints.
func (s *Set) Len() int { return len(s.candidates) }

// Candidates returns the endpoints sorted by id; the slice must not be changed.
func (s *Set) Candidates() []Candidate { return s.candidates }

func (s *Set) has(id string) bool {
	_, ok := s.index[id]
	return ok
}
