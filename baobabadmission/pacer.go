package baobabadmission

import "time"

const (
	// pacerBurst is the time for which unused permits accumulate.
	pacerBurst = 250 * time.Millisecond
	// minPacedRate is the least rate of permits per second. An upstream that states a limit of 0 says only in an answer
	// that it takes requests again.
	minPacedRate = 0.5
)

// A pacer spreads permits in time, so that the upstream gets no more requests per second than it states that it takes
// (token bucket). It starts without a limit and is not safe for concurrent use.
type pacer struct {
	perSecond float64 // Permits per second; 0 without a limit.
	permits   float64 // Available at updatedAt, at most capacity.
	updatedAt time.Time
}

// setLimit sets the limit in permits per second. A new limit starts without available permits, because the upstream has
// just received requests at a higher rate.
func (p *pacer) setLimit(now time.Time, perSecond float64) {
	p.update(now)
	p.perSecond = max(perSecond, minPacedRate)
	p.permits = min(p.permits, p.capacity())
}

// clearLimit removes the limit.
func (p *pacer) clearLimit() { *p = pacer{} }

// limited reports whether a limit is set.
func (p *pacer) limited() bool { return p.perSecond > 0 }

// capacity returns how many permits accumulate while none is taken, at least 1.
func (p *pacer) capacity() float64 { return max(1, p.perSecond*pacerBurst.Seconds()) }

// update adds the permits since the last update. Callers may pass times out of order, and no time may count twice.
func (p *pacer) update(now time.Time) {
	if !now.After(p.updatedAt) {
		return
	}
	if p.limited() {
		p.permits = min(p.permits+p.perSecond*now.Sub(p.updatedAt).Seconds(), p.capacity())
	}
	p.updatedAt = now
}

// wait returns the time until a permit is available, or zero if one is.
func (p *pacer) wait(now time.Time) time.Duration {
	p.update(now)
	if !p.limited() || p.permits >= 1 {
		return 0
	}
	// Rounded up, so that a permit is available after this time.
	return time.Duration((1-p.permits)/p.perSecond*float64(time.Second)) + 1
}

// take takes a permit, which must be available.
func (p *pacer) take(now time.Time) {
	p.update(now)
	if p.limited() {
		p.permits--
	}
}
