package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// tenantRate and tenantBurst are the limit of the tenant, and quotaWindow, quotaOverage and quotaSlack are the bounds
	// of the rule.
	tenantRate   = 100
	tenantBurst  = 50
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// cutTime is the length of the cut; the site files name 12 s at most.
	cutTime = 12 * time.Second
	// senderRate is what the tenant sends at each of the six nodes, in requests per second. Together it is 7.2 times the
	// usual rate, which is the limit divided by 1.6 in the site file.
	senderRate = 75
)

// runQuotaCase checks that a tenant gets no more than its limit, although a node is restarted while it is cut off from the
// other machines.
func runQuotaCase(r *record, trouble bool) (broken bool, err error) {
	const tenant, key = "club", "x42q492cqf75rjvz48wu"
	m, err := newMesh(meshSpec{
		vms: []vmSpec{
			{"zone-1", "slots"}, {"zone-1", "slots"}, {"zone-2", "slots"}, {"zone-2", "slots"}, {"zone-3", "slots"}, {"zone-3", "slots"},
		},
		slots: 18, work: 5 * time.Millisecond,
		bounds: bounds(`,"quota_window_s":5,"quota_overage":0.1,"quota_slack":20`),
	}, r)
	defer m.close()
	if err != nil {
		return false, err
	}
	m.configure([]tenantSpec{{Name: tenant, Keys: []string{key}, Prio: 1, Rate: tenantRate, Burst: tenantBurst}},
		routeSpec{"/slots/", "slots", "safe"})
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	var callers []*caller
	for _, n := range m.nodes {
		callers = append(callers, newCaller(n.entry, r))
	}
	l := startLoad(callers, senderRate, func(number int) request {
		return request{method: http.MethodGet, host: routeHost, path: fmt.Sprintf("/slots/%d", number), key: key, deadline: 800 * time.Millisecond}
	})
	time.Sleep(8 * time.Second)
	if trouble {
		r.say("%s is cut off from all other machines and restarted", m.nodes[0].name)
		m.cut(0, true)
		m.nodes[0].kill()
		if err := m.nodes[0].start(); err != nil {
			return false, err
		}
	}
	time.Sleep(cutTime)
	m.cut(0, false)
	answers := l.stop()
	limit := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most := m.mostRuns(tenant, answers, quotaWindow)
	r.say("at most %d requests of the tenant were sent and ran in %v; the limit is %.0f", most, quotaWindow, limit)
	return float64(most) > limit, nil
}

// mostRuns returns the highest number of requests of a tenant that were both sent and run in a window.
func (m *mesh) mostRuns(tenant string, answers []answer, window time.Duration) int {
	ranAt := map[string]time.Time{}
	for _, u := range m.upstreams {
		for _, v := range u.history() {
			if v.tenant == tenant {
				ranAt[v.id] = v.at
			}
		}
	}
	slices.SortFunc(answers, func(a, b answer) int { return a.sent.Compare(b.sent) })
	most := 0
	for i, first := range answers {
		n := 0
		for _, a := range answers[i:] {
			at, ran := ranAt[a.id]
			if a.sent.Sub(first.sent) >= window {
				break
			}
			if ran && at.Sub(first.sent) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
