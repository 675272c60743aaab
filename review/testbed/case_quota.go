package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
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

// quotaTenant and quotaKey are the tenant of the quota cases and its key.
const (
	quotaTenant = "club"
	quotaKey    = "x42q492cqf75rjvz48wu"
)

// runQuotaCase checks that a tenant gets no more than its limit, although a node is restarted while it is cut off from the
// other machines.
func runQuotaCase(r *record, trouble bool) (broken bool, err error) {
	return runQuota(r, func(m *mesh) (int, error) {
		if !trouble {
			return 0, nil
		}
		r.say("%s is cut off from all other machines and restarted", m.nodes[0].name)
		m.cut(0, true)
		m.nodes[0].kill()
		return 0, m.nodes[0].start()
	})
}

// runCoordinatorCase checks that a tenant gets no more than its limit, although the node that coordinates the limits is cut
// off from the other machines.
func runCoordinatorCase(r *record, trouble bool) (broken bool, err error) {
	return runQuota(r, func(m *mesh) (int, error) {
		coordinator := m.coordinator()
		if coordinator < 0 {
			return 0, errors.New("no node coordinates the limit of the tenant")
		}
		if !trouble {
			return coordinator, nil
		}
		r.say("%s, which coordinates the limits, is cut off from all other machines", m.nodes[coordinator].name)
		m.cut(coordinator, true)
		return coordinator, nil
	})
}

// runQuota sends more requests of a tenant than its limit allows, disturbs the mesh and reports whether more of them ran
// than the rule allows. disturb returns the number of the node that is cut off until cutTime has passed.
func runQuota(r *record, disturb func(*mesh) (int, error)) (broken bool, err error) {
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
	m.configure([]tenantSpec{{Name: quotaTenant, Keys: []string{quotaKey}, Prio: 1, Rate: tenantRate, Burst: tenantBurst}},
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
		return request{method: http.MethodGet, host: routeHost, path: fmt.Sprintf("/slots/%d", number), key: quotaKey, deadline: 800 * time.Millisecond}
	})
	time.Sleep(8 * time.Second)
	index, err := disturb(m)
	if err != nil {
		return false, err
	}
	time.Sleep(cutTime)
	m.cut(index, false)
	answers := l.stop()
	limit := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most := m.mostRuns(quotaTenant, answers, quotaWindow)
	r.say("at most %d requests of the tenant were sent and ran in %v; the limit is %.0f", most, quotaWindow, limit)
	return float64(most) > limit, nil
}

// coordinator returns the number of the node that coordinates the limit of the tenant, as its metrics say, or -1.
func (m *mesh) coordinator() int {
	for i, n := range m.nodes {
		response, err := http.Get("http://" + n.operator + "/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if strings.Contains(string(text), "baobab_quota_coordinated_accounts 1\n") {
			return i
		}
	}
	return -1
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
