package baobabadmission

import "time"

// A Service is what is known about the upstream's ability to serve when a request arrives.
type Service struct {
	limit    int           // Calls that may run at once, at least 1.
	inFlight int           // Calls that run.
	latency  time.Duration // Recent mean latency; zero when not measured yet.
	expected time.Duration // Recent mean latency of calls of the request's kind; zero when not measured yet.
	shortest time.Duration // Least time that serving the request takes; zero when not known.
}

// NewService returns a Service.
func NewService(limit, inFlight int, latency, shortest time.Duration) Service {
	return Service{limit: max(1, limit), inFlight: inFlight, latency: latency, expected: latency, shortest: shortest}
}

// WithExpected returns a copy with the recent mean latency of calls of the request's kind. A short call among long ones is
// judged by its own latency.
func (s Service) WithExpected(d time.Duration) Service {
	s.expected = d
	return s
}

// rate returns calls per second by Little's law, or zero when the latency is not known.
func (s Service) rate() float64 {
	if s.latency <= 0 {
		return 0
	}
	return float64(s.limit) / s.latency.Seconds()
}
