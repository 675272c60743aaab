package baobabrelease

import (
	"sync"
	"time"
)

// clockWindow is how long a sample of the source's clock counts, at least once and at most twice. Clocks that differ by 100
// millionths diverge by 120 ms in twice that time.
const clockWindow = 10 * time.Minute

// A SourceTime is a time on the clock of a source of configurations. Times of different eras cannot be compared, because a
// source that was restored has another clock.
type SourceTime struct {
	era   uint64
	shown time.Duration
}

// NewSourceTime returns the time that the clock of a source in an era shows.
func NewSourceTime(era uint64, shown time.Duration) SourceTime {
	return SourceTime{era: era, shown: shown}
}

// Era returns the era of the source.
func (t SourceTime) Era() uint64 { return t.era }

// Shown returns what the clock shows.
func (t SourceTime) Shown() time.Duration { return t.shown }

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

// Observe records that the source's clock showed a time in the response to a request that was sent at a boot time. It forgets
// the clock of an earlier era, and ignores responses of one.
func (c *SourceClock) Observe(sent time.Duration, t SourceTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.era < c.era {
		return
	}
	if t.era > c.era {
		c.era, c.current, c.earlier = t.era, clockOffset{}, clockOffset{}
	}
	if !c.current.known || sent-c.begun >= clockWindow {
		if sent-c.begun >= 2*clockWindow {
			c.current = clockOffset{}
		}
		c.earlier, c.current, c.begun = c.current, clockOffset{}, sent
	}
	c.current.raise(sent - t.shown)
}

// ToBootTime returns a boot time at or before the one at which the source's clock showed a time, and whether it is known.
func (c *SourceClock) ToBootTime(now time.Duration, t SourceTime) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, ok := c.offset(now)
	return t.shown + offset, ok && t.era == c.era
}

// FromBootTime returns what the source's clock showed at a boot time, as ToBootTime relates them, and whether it is known.
func (c *SourceClock) FromBootTime(now, at time.Duration) (SourceTime, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, ok := c.offset(now)
	return NewSourceTime(c.era, at-offset), ok
}

// offset returns the greatest bound of both windows, and whether there is one. It requires mu.
func (c *SourceClock) offset(now time.Duration) (time.Duration, bool) {
	if now-c.begun >= 2*clockWindow {
		return 0, false
	}
	best := c.current
	if c.earlier.known {
		best.raise(c.earlier.value)
	}
	return best.value, best.known
}
