package baobabadmission

import "time"

// ExpectedLatency returns how long a call of a kind is expected to hold its slot, or zero if nothing is known.
func (g *Gate) ExpectedLatency(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.ExpectedLatency(kind)
}
