package main

import (
	"net/http"
	"time"
)

const (
	// popularPath is the path that all callers ask for, and popularRate how often they do at each node, per second. An
	// upstream gets about as many requests as in the small deployment, 36 per second.
	popularPath = "/slots/today"
	popularRate = 40
	// recoveryTime is recovery_s, and downTime how long the processes are down; the site files name 1.5 s at most.
	recoveryTime = 15 * time.Second
	downTime     = 1300 * time.Millisecond
	// crashDelay is the time from the return of the machines to the crash of the upstream.
	crashDelay = 2 * time.Second
	// observedTime is how long requests are counted after recoveryTime.
	observedTime = 35 * time.Second
	// servedShare is the share of the requests that must be served.
	servedShare = 0.25
)

// runPopularCase checks that requests are served again recoveryTime after all processes were killed, although one upstream
// of eight crashes meanwhile. All callers ask for the same resource.
func runPopularCase(r *record, trouble bool) (broken bool, err error) {
	var vms []vmSpec
	for _, zone := range []string{"zone-1", "zone-1", "zone-1", "zone-2", "zone-2", "zone-2", "zone-3", "zone-3"} {
		vms = append(vms, vmSpec{zone, "slots"})
	}
	m, err := newMesh(meshSpec{vms: vms, slots: 6, work: 90 * time.Millisecond, bounds: bounds("")}, r)
	defer m.close()
	if err != nil {
		return false, err
	}
	m.configure(nil, routeSpec{"/slots/", "slots", "safe"})
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * stableWindow)
	var callers []*caller
	for _, n := range m.nodes {
		callers = append(callers, newCaller(n.entry, r))
	}
	began := time.Now()
	l := startLoad(callers, popularRate, func(int) request {
		return request{method: http.MethodGet, host: routeHost, path: popularPath, deadline: 800 * time.Millisecond}
	})
	time.Sleep(8 * time.Second)
	fault := time.Now()
	if trouble {
		if err := m.restartAll(downTime); err != nil {
			return false, err
		}
	}
	back := time.Now()
	r.say("the machines are back")
	time.Sleep(crashDelay)
	if trouble {
		r.say("one upstream of eight crashes for %v", crashTime)
		go m.upstreams[0].crashAndReturn()
	}
	time.Sleep(recoveryTime + observedTime - crashDelay)
	answers := l.stop()
	before := shareServed(answers, began, fault)
	after := shareServed(answers, back.Add(recoveryTime), time.Now())
	r.say("share served: %.3f before the fault, %.3f of the requests sent later than %v after the machines were back", before, after, recoveryTime)
	return before >= servedShare && after < servedShare, nil
}

// shareServed returns the share of the requests sent in an interval that were served.
func shareServed(answers []answer, from, to time.Time) float64 {
	served, all := 0, 0
	for _, a := range answers {
		if a.sent.Before(from) || a.sent.After(to) {
			continue
		}
		all++
		if a.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}
