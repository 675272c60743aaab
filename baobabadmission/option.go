package baobabadmission

import "time"

// An Option sets an optional property of a Gate.
type Option func(*Gate)

// WithPolicy sets the policy; without it there is one rank.
func WithPolicy(p Policy) Option {
	return func(g *Gate) { g.queue = NewQueue(p) }
}

// WithWarmUp sets the time over which the limit grows to its full value after the upstream started, and the
// fraction from 0 to 1 that it starts from. The default is 10 s from 0.25.
func WithWarmUp(d time.Duration, fraction float64) Option {
	return func(g *Gate) { g.limiter = NewLimiter(d, min(max(fraction, 0), 1)) }
}

// WithAnnouncedLimit makes the announced slots the limit. It suits upstreams whose announcement is known to be right and
// whose calls last longer for other reasons than their number, such as calls that they make themselves.
func WithAnnouncedLimit() Option {
	return func(g *Gate) { g.limiter.fixed = true }
}
