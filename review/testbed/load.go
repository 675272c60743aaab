package main

import (
	"sync"
	"time"
)

// A load sends requests at a steady rate until it is stopped.
type load struct {
	stopped chan struct{}
	senders sync.WaitGroup

	mu      sync.Mutex
	answers []answer // Guarded by mu.
}

// startLoad sends perSecond requests per second through each caller. next returns the request with a number.
func startLoad(callers []*caller, perSecond int, next func(number int) request) *load {
	l := &load{stopped: make(chan struct{})}
	for _, c := range callers {
		l.senders.Go(func() { l.sendAll(c, perSecond, next) })
	}
	return l
}

func (l *load) sendAll(c *caller, perSecond int, next func(int) request) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for number := 0; ; number++ {
		select {
		case <-l.stopped:
			return
		case <-tick.C:
		}
		r := next(number)
		l.senders.Go(func() {
			a := c.send(r)
			l.mu.Lock()
			l.answers = append(l.answers, a)
			l.mu.Unlock()
		})
	}
}

// stop ends the load and returns the answers.
func (l *load) stop() []answer {
	close(l.stopped)
	l.senders.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}
