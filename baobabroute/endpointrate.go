package baobabroute

import "time"

const (
	// minTimeFactor and maxTimeFactor bound the service time of an endpoint relative to the mean of its service, so that a
	// false figure neither attracts nor repels all calls.
	minTimeFactor = 0.25
	maxTimeFactor = 4
	// timeFactorWeight is the weight of one report in the learnt factor.
	timeFactorWeight = 0.2
	// timeFactorDecayTime is the time in which the learnt factor without reports falls to 1/e of its distance from 1.
	timeFactorDecayTime = 10 * time.Second
	// statedDecayTime is the same for the speed that an upstream states, which changes many times a second.
	statedDecayTime = 300 * time.Millisecond
)

// An endpointRate is how long calls take at an endpoint relative to the mean of its service.
type endpointRate struct {
	learnt   float64 // From the reported service times; zero: unknown.
	learntAt time.Time
	stated   float64 // By the upstream's own statement; zero: unknown.
	statedAt time.Time
	service  time.Duration // Moving average of the mean of the service.
}

// observe records a report. The mean is that of the service for the kind of the report, or zero if it is not known.
func (r *endpointRate) observe(now time.Time, l *reportedRate, mean time.Duration) {
	if l.percent > 0 {
		r.stated, r.statedAt = clampTimeFactor(float64(l.percent)/100), now
	}
	if l.service <= 0 || mean <= 0 {
		return
	}
	sample := clampTimeFactor(float64(l.service) / float64(mean))
	if r.learnt == 0 {
		r.learnt, r.service = sample, mean
	}
	r.learnt += timeFactorWeight * (sample - r.learnt)
	r.service += time.Duration(timeFactorWeight * float64(mean-r.service))
	r.learntAt = now
}

// factor returns the service time relative to the mean of the service. Without recent figures it approaches 1.
func (r *endpointRate) factor(now time.Time) float64 {
	f := 1.0
	if r.learnt > 0 {
		f += (r.learnt - 1) * decayFactor(now.Sub(r.learntAt), timeFactorDecayTime)
	}
	if r.stated > 0 {
		f *= 1 + (r.stated-1)*decayFactor(now.Sub(r.statedAt), statedDecayTime)
	}
	return clampTimeFactor(f)
}

func clampTimeFactor(f float64) float64 { return min(max(f, minTimeFactor), maxTimeFactor) }
