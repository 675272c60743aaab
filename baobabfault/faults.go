package baobabfault

import (
	"math/rand/v2"
	"time"
)

// faults are the failures in effect. The zero value forwards everything.
type faults struct {
	cut         bool
	halfOpen    bool
	dropReplies bool
	delay       time.Duration
	jitter      time.Duration // Added to the delay, uniform from zero.
	rate        int           // Bytes per second and direction of a connection; zero is unlimited.
	stallShare  float64       // Share of the chunks that stall.
	stallTime   time.Duration
}

// drops reports whether bytes vanish.
func (f faults) drops(d direction) bool { return f.halfOpen || f.dropReplies && d == toClient }

// hold returns how long a chunk is held in transit.
func (f faults) hold(r *rand.Rand) time.Duration {
	hold := f.delay
	if f.jitter > 0 {
		hold += time.Duration(r.Int64N(int64(f.jitter)))
	}
	if f.stallShare > 0 && r.Float64() < f.stallShare {
		hold += f.stallTime
	}
	return hold
}

// transmission returns how long a chunk occupies the throttled connection.
func (f faults) transmission(bytes int) time.Duration {
	if f.rate <= 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(f.rate)
}
