package baobabrelease

import (
	"sync"
	"time"
)

// clockWindow is how long a sample of the source's clock counts, at least once and at most twice. Clocks that differ by 100
// millionths diverge by 120 ms in twice that time.
const clockWindow = 10 * time.Minute

// A SourceClock relates the steady clock of a source of configurations to the boot time of this VM. All members read the
// same clock, so that news of when a version was the newest one stays true however long it is on its way. It is safe for
// concurrent use.
type SourceClock struct {
	mu      sync.Mutex
	era     uint64        // Guarded by mu; of the source whose clock the samples are of.
	begun   time.Duration // Guarded by mu; boot time at which the current window began.
	current clockOffset   // Guarded by mu; of the current window.
	earlier clockOffset   // Guarded by mu; of the window before.
}

// A clockOffset is a lower bound of the boot time at which the source's clock was 0.
type clockOffset struct {
	known bool
	value time.Duration
}

// raise raises the bound.
func (o *clockOffset) raise(value time.Duration) {
	if !o.known || value > o.value {
		*o = clockOffset{known: true, value: value}
	}
}

// Observe records that the source's clock showed a time in the response to a request that was sent at a boot time. A source
// of a higher era has another clock, and responses of a lower one are ignored.
func (c *SourceClock) Observe(era uint64, sent, shown time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era < c.era {
		return
	}
	if era > c.era {
		c.era, c.current, c.earlier = era, clockOffset{}, clockOffset{}
	}
	if !c.current.known || sent-c.begun >= clockWindow {
		if sent-c.begun >= 2*clockWindow {
			c.current = clockOffset{}
		}
		c.earlier, c.current, c.begun = c.current, clockOffset{}, sent
	}
	c.current.raise(sent - shown)
}

// ToBootTime returns a boot time at or before the one at which the source's clock showed a time, and whether it is known.
func (c *SourceClock) ToBootTime(now, shown time.Duration) (time.Duration, bool) {
	offset, ok := c.offset(now)
	return shown + offset, ok
}

// FromBootTime returns what the source's clock showed at a boot time, as ToBootTime relates them, and whether it is known.
func (c *SourceClock) FromBootTime(now, at time.Duration) (time.Duration, bool) {
	offset, ok := c.offset(now)
	return at - offset, ok
}

func (c *SourceClock) offset(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := c.current
	if now-c.begun >= 2*clockWindow {
		return 0, false
	}
	if c.earlier.known {
		best.raise(c.earlier.value)
	}
	return best.value, best.known
}
