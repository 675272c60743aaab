package baobabroute

import "slices"

// Tiers of endpoints by distance from the choosing node.
const (
	tierSameDomain = iota // Same failure domain.
	tierSameRegion        // Same region.
	tierOther
	tierCount
)

// A CandidateSet holds the endpoints of one service, grouped by distance from the choosing node. It is immutable; build
// it when membership changes, not per call.
type CandidateSet struct {
	service    string
	domain     string      // Failure domain of the choosing node.
	region     string      // Region of the choosing node.
	candidates []Candidate // Sorted by id, without duplicates.
	indexByID  map[string]int
	tiers      [tierCount][]int // Indexes into candidates.
}

// NewCandidateSet returns the set of a service's endpoints as seen from a node in the given failure domain and region.
// Of candidates with the same id, one is kept.
func NewCandidateSet(service, failureDomain, region string, candidates []Candidate) *CandidateSet {
	s := &CandidateSet{service: service, domain: failureDomain, region: region, candidates: slices.Clone(candidates), indexByID: make(map[string]int, len(candidates))}
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
		s.indexByID[c.id] = i
		t := s.tierOf(c)
		s.tiers[t] = append(s.tiers[t], i)
	}
	return s
}

// tierOf returns the tier of a candidate.
func (s *CandidateSet) tierOf(c Candidate) int {
	switch {
	case c.failureDomain == s.domain:
		return tierSameDomain
	case c.region == s.region:
		return tierSameRegion
	default:
		return tierOther
	}
}

// Service returns the name of the service.
func (s *CandidateSet) Service() string { return s.service }

// Len returns the number of endpoints.
func (s *CandidateSet) Len() int { return len(s.candidates) }

// Candidates returns the endpoints sorted by id; the caller must not modify the slice.
func (s *CandidateSet) Candidates() []Candidate { return s.candidates }

// nearAndOther returns the indexes of the endpoints in the nearest tier that has any, and of those in the next one.
func (s *CandidateSet) nearAndOther() (near, other []int) {
	for _, tier := range s.tiers {
		switch {
		case len(tier) == 0:
		case near == nil:
			near = tier
		default:
			return near, tier
		}
	}
	return near, nil
}

func (s *CandidateSet) contains(id string) bool {
	_, ok := s.indexByID[id]
	return ok
}
