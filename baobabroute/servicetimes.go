package baobabroute

import (
	"sync"
	"time"
)

const (
	// serviceTimeWeight is the weight of one report in the mean of a service. It covers the reports of many endpoints.
	serviceTimeWeight = 0.02
	// maxServiceKinds bounds the memory of the means. Kinds come from paths, which callers choose.
	maxServiceKinds = 1024
)

// serviceTimes holds the mean service time of each kind of calls over the endpoints that report it. It is safe for
// concurrent use.
type serviceTimes struct {
	mu    sync.Mutex
	means map[string]float64 // Nanoseconds, by kind.
}

// observe adds a report and returns the mean of its kind, or zero if the report has no service time.
func (s *serviceTimes) observe(r *reportedRate) time.Duration {
	if r.service <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.means[r.kind]
	switch {
	case !ok && len(s.means) >= maxServiceKinds:
		return 0
	case !ok:
		mean = float64(r.service)
	default:
		// The bound keeps one false figure from moving the mean.
		sample := min(max(float64(r.service), minTimeFactor*mean), maxTimeFactor*mean)
		mean += serviceTimeWeight * (sample - mean)
	}
	if s.means == nil {
		s.means = map[string]float64{}
	}
	s.means[r.kind] = mean
	return time.Duration(mean)
}
