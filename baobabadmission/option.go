package baobabadmission

import "time"

// An Option sets an optional property of a Gate.
type Option func(*Gate)

// WithPolicy sets the policy. The default policy has a single rank.
func WithPolicy(p Policy) Option {
	return func(g *Gate) { g.queue.Configure(p) }
}

// WithWarmUp sets the time after the start of the upstream over which the limit grows to its full value, and the
// fraction, 0 to 1, that it starts from. The default is 10 s from 0.25.
func WithWarmUp(d time.Duration, fraction float64) Option {
	return func(g *Gate) { g.limiter = NewLimiter(d, min(max(fraction, 0), 1)) }
}

// WithNestedPriority serves nested calls before other calls of their rank.
func WithNestedPriority() Option { return func(g *Gate) { g.queue.nestedPriority = true } }

// WithObjectiveOrder serves calls that can still meet their objective before others of their rank, and refuses those that
// would miss it because of the queue.
func WithObjectiveOrder() Option {
	return func(g *Gate) { g.queue.objectiveOrder, g.ordersByObjective = true, true }
}

// WithUsualShare lets each rank keep a part, in percent, of its usual share of the work while more urgent ranks ask for more
// than there is.
func WithUsualShare(percent int) Option { return func(g *Gate) { g.queue.KeepUsualShare(percent) } }

// WithAnnouncedLimit fixes the limit at the announced slots. It suits upstreams whose announcement is known to be right
// and whose latency rises for reasons other than concurrency, such as calls that they make themselves.
func WithAnnouncedLimit() Option {
	return func(g *Gate) { g.limiter.fixed = true }
}
