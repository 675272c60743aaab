package baobabscarcity

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// An event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events by time, then by the order in which they were added.
type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}

// A clock runs events in virtual time.
type clock struct {
	events   events
	elapsed  time.Duration
	sequence int
}

// now returns the virtual time.
func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// after runs f once the duration has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.elapsed + max(d, 0), sequence: c.sequence, run: f})
}

// runUntil runs all events until the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.elapsed = e.at
		e.run()
	}
	c.elapsed = end
}
