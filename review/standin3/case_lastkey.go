package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	revokeLimit = 5 * time.Second // revoke_s
	revokeLoad  = 40.0            // Requests per second.
	// revokeOther is the key of a tenant that sends nothing.
	revokeOther = "akn2ftimaj3nr26tta82"
	// revokeWatch is how long requests are sent after the limit.
	revokeWatch = 6 * time.Second
)

// runLastKey lets the operator take away the only tenant. Without trouble another tenant remains.
func runLastKey(b *bed, trouble bool) (verdict, error) {
	c := newConfiguration()
	other := tenant{Name: "lina311", Keys: []string{revokeOther}, Priority: 1}
	gone := tenant{Name: quotaTenant, Keys: []string{quotaKey}, Priority: 1}
	rest := []tenant{}
	if !trouble {
		rest = append(rest, other)
	}
	c.Tenants = append([]tenant{gone}, rest...)
	c.addRoute(drainHost, drainPath, "non_idempotent", drainName, 1.2)
	if err := b.store.put("op", "config", c); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		b.addMachine(fmt.Sprintf("brno-%c", 'a'+rune(i)), drainName, 6)
	}
	if err := b.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sent := map[string]time.Duration{}
	cs, stop := newCallers(b), make(chan struct{})
	cs.stream(revokeLoad, stop, func() request {
		return request{machine: b.machines[rand.IntN(len(b.machines))], method: "POST", host: drainHost, path: drainPath, key: quotaKey,
			deadline: 2500 * time.Millisecond}
	}, func(r result) {
		mu.Lock()
		defer mu.Unlock()
		sent[r.id] = r.sent
	})
	time.Sleep(3 * time.Second)
	c.Version, c.Tenants = "00000009", rest
	if err := b.store.put("op", "config", c); err != nil {
		return verdict{}, err
	}
	acknowledged := b.record.now()
	b.record.write("the operator takes the tenant %q away; %d tenants remain", gone.Name, len(rest))
	time.Sleep(revokeLimit + revokeWatch)
	close(stop)
	cs.wait()
	late, all := 0, 0
	for _, m := range b.machines {
		for _, e := range m.upstream.events() {
			all++
			if at, ok := sent[e.id]; ok && at > acknowledged+revokeLimit {
				late++
			}
		}
	}
	if all == 0 {
		return verdict{}, fmt.Errorf("no request ran")
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("CONFIG: %d requests ran that were sent more than %s after their key was taken away at %.3f s",
			late, revokeLimit, acknowledged.Seconds()),
	}, nil
}
