package baobabnode

import (
	"sync"
	"time"
)

// bodyLinkPercent is the share of the link that bodies from other nodes may take. At 90% of 10 Mbit/s, bodies of 60 kB that
// arrive at random make short calls on the same link wait 200 ms on average, at 60% they wait 36 ms (M/D/1 queue).
const bodyLinkPercent = 60

// A linkSchedule spreads the bodies that other nodes send to this VM over time, so that their senders together do not fill
// the queue of its link. It is safe for concurrent use.
type linkSchedule struct {
	mu             sync.Mutex
	bytesPerSecond int64     // Of all bodies together; zero: not limited.
	freeAt         time.Time // Guarded by mu; when the bodies that have a place will have arrived.
}

// newLinkSchedule returns the schedule of a link with the given speed; zero means that it is not known.
func newLinkSchedule(linkBytesPerSecond int64) *linkSchedule {
	return &linkSchedule{bytesPerSecond: linkBytesPerSecond * bodyLinkPercent / 100}
}

// wait returns how long another body would wait for its place.
func (l *linkSchedule) wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.freeAt.Sub(now))
}

// reserve gives a body the next place and returns how long it waits for it.
func (l *linkSchedule) reserve(now time.Time, bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	start := now
	if l.freeAt.After(now) {
		start = l.freeAt
	}
	l.freeAt = start.Add(time.Duration(float64(bytes) / float64(l.bytesPerSecond) * float64(time.Second)))
	return start.Sub(now)
}
