package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// crashInterval is the time between two attempts of the request that crashes upstreams.
	crashInterval = 5 * time.Second
	// restartDelay is the time from the kill of a process to its next start, and killRounds how often all are killed.
	restartDelay = time.Second
	killRounds   = 3
	// maxRetries is how many retries may reach upstreams later than the stable window after the third crash.
	maxRetries = 3
)

// runCrashCase checks that a request that has crashed three upstreams reaches hardly any further one, although all
// processes are killed at the same moment, three times.
func runCrashCase(r *record, trouble bool) (broken bool, err error) {
	m, err := newMesh(meshSpec{
		vms: []vmSpec{
			{"zone-1", "slots"}, {"zone-1", "slots"}, {"zone-2", "slots"}, {"zone-2", "slots"}, {"zone-3", "slots"}, {"zone-3", "slots"},
		},
		slots: 6, work: 20 * time.Millisecond, bounds: bounds(""),
	}, r)
	defer m.close()
	if err != nil {
		return false, err
	}
	m.configure(nil, routeSpec{"/slots/", "slots", "safe"})
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * stableWindow)
	c := &crashCaller{poison: request{method: http.MethodGet, host: routeHost, path: crashPath, deadline: 800 * time.Millisecond}}
	for _, n := range m.nodes {
		c.callers = append(c.callers, newCaller(n.entry, r))
	}
	c.sendAtOnce()
	for range 2 {
		time.Sleep(crashInterval)
		c.send()
	}
	for range killRounds {
		if trouble {
			if err := m.restartAll(restartDelay); err != nil {
				return false, err
			}
		}
		// The machines are in touch again when the request comes.
		for range 3 {
			time.Sleep(crashInterval)
			c.send()
		}
	}
	return m.countRetries(c) > maxRetries, nil
}

// restartAll kills all nodes at the same moment, starts them after a delay and waits until they are ready again.
func (m *mesh) restartAll(delay time.Duration) error {
	m.record.say("all nodes are killed")
	var killed sync.WaitGroup
	for _, n := range m.nodes {
		killed.Go(n.kill)
	}
	killed.Wait()
	time.Sleep(delay)
	return m.start()
}

// A crashCaller sends a request that crashes upstreams.
type crashCaller struct {
	poison  request
	callers []*caller
	number  int
	sent    []time.Time // Of the attempts that come one by one.
	ids     []string
}

// sendAtOnce sends the request at four nodes at the same time.
func (c *crashCaller) sendAtOnce() {
	var all sync.WaitGroup
	for _, v := range c.callers[:4] {
		all.Go(func() { v.send(c.poison) })
	}
	all.Wait()
}

// send sends the request at the next node.
func (c *crashCaller) send() {
	a := c.callers[c.number%len(c.callers)].send(c.poison)
	c.number++
	c.sent, c.ids = append(c.sent, a.sent), append(c.ids, a.id)
}

// countRetries returns how many requests that were sent later than the stable window after the third crash upstreams began
// to run. All machines are in touch when a request is sent.
func (m *mesh) countRetries(c *crashCaller) int {
	var crashes []run
	for _, u := range m.upstreams {
		for _, v := range u.history() {
			if v.path == crashPath {
				crashes = append(crashes, v)
			}
		}
	}
	slices.SortFunc(crashes, func(a, b run) int { return a.at.Compare(b.at) })
	retries := 0
	for i, v := range crashes {
		j := slices.Index(c.ids, v.id)
		counts := i > 2 && j >= 0 && c.sent[j].Sub(crashes[2].at) > stableWindow
		if counts {
			retries++
		}
		m.record.say("crash %d: %s runs %s at %.2f s, counts: %t", i+1, v.upstream, v.id, v.at.Sub(m.record.start).Seconds(), counts)
	}
	m.record.say("%d retries reached upstreams later than %v after the third crash; %d are allowed", retries, stableWindow, maxRetries)
	return retries
}
