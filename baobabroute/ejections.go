package baobabroute

import (
	"sync"
	"time"
)

const (
	baseEjection = 5 * time.Second
	maxEjection  = time.Minute
	// ejectionMemory is how long after an ejection the next one still counts as a repetition.
	ejectionMemory = 2 * time.Minute
	// ejectedShare is the divisor of the ceiling: at most a third of a service's endpoints.
	ejectedShare = 3
)

// Ejections takes endpoints that fail out of the choice for a growing time. At most a third of the endpoints of a
// service is ejected at once, so a fault that all endpoints share does not stop the service. It is safe for
// concurrent use; each service has its own lock.
type Ejections struct {
	mu       sync.RWMutex
	services map[string]*serviceEjections
}

type serviceEjections struct {
	mu      sync.Mutex
	records map[string]ejection
}

// ejection is the last ejection of one endpoint.
type ejection struct {
	until time.Time
	count int // Ejections in a row.
}

// before orders ejections in force: the longest comes first.
func (e ejection) before(o ejection, id, otherID string) bool {
	if !e.until.Equal(o.until) {
		return e.until.After(o.until)
	}
	return id < otherID
}

// NewEjections returns no ejections.
func NewEjections() *Ejections { return &Ejections{services: map[string]*serviceEjections{}} }

// Eject ejects an endpoint of the set and returns the time for which it is out, or zero when it is out already or
// the ceiling is reached.
func (e *Ejections) Eject(now time.Time, set *Set, id string) time.Duration {
	s := e.obtain(set.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	r := s.records[id]
	if !set.has(id) || r.until.After(now) || s.active(now, set) >= set.Len()/ejectedShare {
		return 0
	}
	r.count++
	d := ejectionTime(r.count)
	r.until = now.Add(d)
	s.records[id] = r
	return d
}

// Ejected reports whether the endpoint is out. When the set has shrunk below the ceiling's share, only the longest
// ejections stay in force.
func (e *Ejections) Ejected(now time.Time, set *Set, id string) bool {
	s := e.find(set.service)
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
		if other != id && o.until.After(now) && set.has(other) && o.before(r, other, id) {
			rank++
		}
	}
	return rank < set.Len()/ejectedShare
}

func (e *Ejections) find(service string) *serviceEjections {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[service]
}

func (e *Ejections) obtain(service string) *serviceEjections {
	if s := e.find(service); s != nil {
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

// forget drops records that no longer count as repetitions. The caller holds mu.
func (s *serviceEjections) forget(now time.Time) {
	for id, r := range s.records {
		if now.Sub(r.until) >= ejectionMemory {
			delete(s.records, id)
		}
	}
}

// active returns the number of ejections in force in the set. The caller holds mu.
func (s *serviceEjections) active(now time.Time, set *Set) int {
	n := 0
	for id, r := range s.records {
		if r.until.After(now) && set.has(id) {
			n++
		}
	}
	return n
}

// ejectionTime doubles with each ejection in a row up to maxEjection.
func ejectionTime(count int) time.Duration {
	d := baseEjection
	for range count - 1 {
		d *= 2
		if d >= maxEjection {
			return maxEjection
		}
	}
	return d
}
