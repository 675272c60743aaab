package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// outage is the length of the store's outage; the site file names 8 s at most.
	outage = 8 * time.Second
	// outageDelay is the time from the acknowledgement of a version to the outage. Nodes ask for the next change about
	// 0.4 s after a version came into force.
	outageDelay = 200 * time.Millisecond
)

// runConfigCase checks that a configuration is in force everywhere after applyTime, although the store gave no response
// for a while before.
func runConfigCase(r *record, trouble bool) (broken bool, err error) {
	m, err := newMesh(meshSpec{
		vms: []vmSpec{
			{"zone-1", "old"}, {"zone-1", "new"}, {"zone-2", "old"}, {"zone-2", "new"}, {"zone-3", "old"}, {"zone-3", "new"},
		},
		slots: 6, work: 20 * time.Millisecond, bounds: bounds(""),
	}, r)
	defer m.close()
	if err != nil {
		return false, err
	}
	m.configure(nil, routeSpec{"/slots/", "old", "safe"})
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	// A second version, which changes another route, goes ahead of the outage.
	m.configure(nil, routeSpec{"/slots/", "old", "safe"}, routeSpec{"/other/", "new", "safe"})
	time.Sleep(outageDelay)
	if trouble {
		r.say("the store gives no response from now on")
		m.setStoreSilent(true)
	}
	time.Sleep(outage)
	m.setStoreSilent(false)
	r.say("the store answers all new calls")
	time.Sleep(stableWindow + 500*time.Millisecond)
	// All machines are in touch and the core is stable.
	acknowledged := m.configure(nil, routeSpec{"/slots/", "new", "safe"}, routeSpec{"/other/", "new", "safe"})
	time.Sleep(applyTime + 500*time.Millisecond)
	return m.countOldRuns(acknowledged), nil
}

// countOldRuns sends requests to all nodes and reports whether the old service runs any of them.
func (m *mesh) countOldRuns(acknowledged time.Time) bool {
	old := 0
	var callers []*caller
	for _, n := range m.nodes {
		callers = append(callers, newCaller(n.entry, m.record))
	}
	for round := range 5 {
		for i, c := range callers {
			a := c.send(request{method: http.MethodGet, host: routeHost, path: fmt.Sprintf("/slots/%d-%d", round, i), deadline: time.Second})
			if a.status == http.StatusOK && len(a.body) > 3 && a.body[:3] == "old" {
				old++
				m.record.write("%s was sent %.2f s after the acknowledgement and was run by the old service", a.id, a.sent.Sub(acknowledged).Seconds())
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	m.record.say("%d of %d requests sent more than %v after the acknowledgement were run by the old service", old, 5*len(callers), applyTime)
	return old > 0
}
