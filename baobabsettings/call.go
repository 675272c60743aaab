package baobabsettings

import "time"

// Call holds the time limits of calls.
type Call struct {
	defaultTimeout time.Duration // At most maxTimeout.
	maxTimeout     time.Duration
}

func readCall(r *reader) Call {
	c := Call{
		defaultTimeout: r.duration("call", "default_timeout", 5*time.Second, time.Millisecond, 10*time.Minute),
		maxTimeout:     r.duration("call", "max_timeout", 30*time.Second, time.Millisecond, 10*time.Minute),
	}
	if c.defaultTimeout > c.maxTimeout {
		r.addProblem("call", "default_timeout", "%s is longer than max_timeout %s", c.defaultTimeout, c.maxTimeout)
	}
	return c
}

// DefaultTimeout returns the timeout of a call for which neither the caller nor the route sets one.
func (c Call) DefaultTimeout() time.Duration { return c.defaultTimeout }

// MaxTimeout returns the longest timeout that a caller can request.
func (c Call) MaxTimeout() time.Duration { return c.maxTimeout }
