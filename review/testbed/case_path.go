package main

import (
	"net/http"
	"time"
)

// maxDenied is how many proper requests may be denied by machines in touch, beside one in 500.
const maxDenied = 5

// runPathCase checks that requests are answered whose path begins with the prefix of a route and goes on with an empty
// segment or a dot segment.
func runPathCase(r *record, trouble bool) (broken bool, err error) {
	m, err := newMesh(meshSpec{
		vms:   []vmSpec{{"zone-1", "slots"}, {"zone-2", "slots"}, {"zone-3", "slots"}},
		slots: 6, work: 5 * time.Millisecond, bounds: bounds(""),
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
	paths := []string{"/slots/2f", "/slots/2f/3a"}
	if trouble {
		paths = []string{"/slots//2f", "/slots/2f//", "/slots/./2f"}
	}
	denied, all := 0, 0
	for range 20 {
		for _, n := range m.nodes {
			c := newCaller(n.entry, r)
			for _, p := range paths {
				a := c.send(request{method: http.MethodGet, host: routeHost, path: p, deadline: time.Second})
				all++
				if a.status >= http.StatusMultipleChoices && a.status < http.StatusInternalServerError {
					denied++
				}
			}
		}
	}
	r.say("%d of %d proper requests were denied; %d are allowed", denied, all, maxDenied+all/500)
	return denied > maxDenied+all/500, nil
}
