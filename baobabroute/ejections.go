package baobabroute

import (
	"sync"
	"time"
)

const (
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// ejectionCountTTL is how long after the end of an ejection the next one still counts as a repetition.
	ejectionCountTTL = 2 * time.Minute
	// maxEjectedDivisor limits ejections to a third of a service's endpoints.
	maxEjectedDivisor = 3
)

// Ejections excludes failing endpoints from selection for an increasing time. At most a third of the endpoints of a
// service are ejected at once, so a fault that all endpoints share does not stop the service. It is safe for
// concurrent use; each service has its own lock.
type Ejections struct {
	mu       sync.RWMutex
	services map[string]*serviceEjections
}

type serviceEjections struct {
	mu      sync.Mutex
	records map[string]ejection
}

// ejection is the latest ejection of one endpoint.
type ejection struct {
	until time.Time
	count int // Successive ejections, each within ejectionCountTTL of the one before.
}

// before orders active ejections by their end, the latest first.
func (e ejection) before(o ejection, id, otherID string) bool {
	if !e.until.Equal(o.until) {
		return e.until.After(o.until)
	}
	return id < otherID
}

// NewEjections returns an empty Ejections.
func NewEjections() *Ejections { return &Ejections{services: map[string]*serviceEjections{}} }

// Eject ejects an endpoint of the set and returns the duration. It returns zero if the endpoint is already ejected or
// not in the set, or if a third of the set is ejected.
func (e *Ejections) Eject(now time.Time, set *CandidateSet, id string) time.Duration {
	s := e.getOrCreate(set.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	r := s.records[id]
	if !set.contains(id) || r.until.After(now) || s.activeCount(now, set) >= set.Len()/maxEjectedDivisor {
		return 0
	}
	r.count++
	d := ejectionTime(r.count)
	r.until = now.Add(d)
	s.records[id] = r
	return d
}

// Ejected reports whether the endpoint is ejected. If the set has shrunk so that more than a third of it would be
// ejected, only the ejections that end last apply.
func (e *Ejections) Ejected(now time.Time, set *CandidateSet, id string) bool {
	s := e.get(set.service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || !r.until.After(now) {
		return false
	}
	rank := 0
	for other, o := range s.records {
		if other != id && o.until.After(now) && set.contains(other) && o.before(r, other, id) {
			rank++
		}
	}
	return rank < set.Len()/maxEjectedDivisor
}

func (e *Ejections) get(service string) *serviceEjections {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[service]
}

func (e *Ejections) getOrCreate(service string) *serviceEjections {
	if s := e.get(service); s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil {
		s = &serviceEjections{records: map[string]ejection{}}
		e.services[service] = s
	}
	return s
}

// prune removes records that ended at least ejectionCountTTL ago. The caller must hold mu.
func (s *serviceEjections) prune(now time.Time) {
	for id, r := range s.records {
		if now.Sub(r.until) >= ejectionCountTTL {
			delete(s.records, id)
		}
	}
}

// activeCount returns the number of active ejections in the set. The caller must hold mu.
func (s *serviceEjections) activeCount(now time.Time, set *CandidateSet) int {
	n := 0
	for id, r := range s.records {
		if r.until.After(now) && set.contains(id) {
			n++
		}
	}
	return n
}

// ejectionTime returns the duration of the count-th successive ejection: baseEjectionTime, doubled each time up to
// maxEjectionTime.
func ejectionTime(count int) time.Duration {
	d := baseEjectionTime
	for range count - 1 {
		d *= 2
		if d >= maxEjectionTime {
			return maxEjectionTime
		}
	}
	return d
}
