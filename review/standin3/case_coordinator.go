package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
)

// Load and limits of the case, in the proportions of the site: a tenant may send 1.6 times its usual rate with a burst of
// one second, and a hot tenant sends 7.5 times as much as usual.
const (
	quotaMachines  = 12
	quotaUsual     = 10.0
	quotaRate      = 16.0
	quotaBurst     = 16.0
	quotaHot       = 7.5
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20.0
	quotaSettle    = 12 * time.Second
	quotaHotTime   = 6500 * time.Millisecond
	quotaDark      = 4 * time.Second
	quotaKey       = "x42q492cqf75rjvz48wu"
	quotaTenant    = "huka270"
	quotaHost      = "ficu95.example"
	quotaPrefix    = "/lohu930/"
	quotaService   = "huvo11a"
	quotaDeadline  = 2500 * time.Millisecond
	quotaShardDuty = "quota/0"
)

// runCoordinator kills the node that coordinates a tenant's quota at the moment at which the tenant becomes hot, and
// counts the tenant's requests that run in any window.
func runCoordinator(b *bed, trouble bool) (verdict, error) {
	c := newConfiguration()
	c.Tenants = []tenant{{Name: quotaTenant, Keys: []string{quotaKey}, Priority: 1, Rate: quotaRate, Burst: quotaBurst}}
	c.addRoute(quotaHost, quotaPrefix, "safe", quotaService, 1.2)
	if err := b.store.put("op", "config", c); err != nil {
		return verdict{}, err
	}
	for i := range quotaMachines {
		b.addMachine(fmt.Sprintf("brno-%c", 'a'+rune(i%3)), quotaService, 6)
	}
	if err := b.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(quotaSettle)
	cs := newCallers(b)
	var mu sync.Mutex
	sent := map[string]time.Duration{}
	next := func() request {
		return request{machine: b.machines[rand.IntN(len(b.machines))], method: "GET", host: quotaHost, path: quotaPrefix,
			key: quotaKey, deadline: quotaDeadline}
	}
	done := func(r result) {
		mu.Lock()
		defer mu.Unlock()
		sent[r.id] = r.sent
	}
	stop := make(chan struct{})
	cs.stream(quotaUsual, stop, next, done)
	time.Sleep(10 * time.Second)
	leader := coordinatorOf(b)
	b.record.write("the tenant becomes hot; coordinator %s", leader.name)
	hot := make(chan struct{})
	if trouble {
		leader.signal(syscall.SIGKILL)
	}
	cs.stream(quotaUsual*(quotaHot-1), hot, next, done)
	if trouble {
		time.Sleep(quotaDark)
		if err := leader.startNode(); err != nil {
			return verdict{}, err
		}
		time.Sleep(quotaHotTime - quotaDark)
	} else {
		time.Sleep(quotaHotTime)
	}
	close(hot)
	time.Sleep(2 * time.Second)
	close(stop)
	cs.wait()
	return quotaVerdict(b, sent), nil
}

// coordinatorOf returns the machine whose node coordinates the quotas, by the members' own order.
func coordinatorOf(b *bed) *machine {
	member := func(m *machine) membership.Member {
		return membership.NewMember(m.name, m.address(portPeer), m.address(portOutbound), m.zone, region, 1)
	}
	t := membership.NewTable(member(b.machines[0]))
	for _, m := range b.machines[1:] {
		t.Merge(time.Now(), []membership.Member{member(m)})
	}
	first := t.RendezvousOrder(quotaShardDuty, "")[0].ID()
	i := slices.IndexFunc(b.machines, func(m *machine) bool { return m.name == first })
	return b.machines[i]
}

// quotaVerdict finds the window with most requests of the tenant that were both sent and run in it.
func quotaVerdict(b *bed, sent map[string]time.Duration) verdict {
	type span struct{ sent, ran time.Duration }
	var spans []span
	seen := map[string]bool{}
	for _, m := range b.machines {
		for _, e := range m.upstream.events() {
			if at, ok := sent[e.id]; ok && e.tenant == quotaTenant && !seen[e.id] {
				seen[e.id] = true
				spans = append(spans, span{at, e.at})
			}
		}
	}
	most, start := 0, time.Duration(0)
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if s.sent >= first.sent && s.ran <= first.sent+quotaWindow {
				n++
			}
		}
		if n > most {
			most, start = n, first.sent
		}
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	return verdict{
		broken: float64(most) > limit,
		text:   fmt.Sprintf("QUOTA: %d requests sent and run in %s from %.3f s, at most %.0f are allowed", most, quotaWindow, start.Seconds(), limit),
	}
}
