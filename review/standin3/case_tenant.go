package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	addedKey    = "akn2ftimaj3nr26tta82"
	tenantPlain = "acme-transfers"
	tenantLoad  = 40.0 // Requests per second.
)

// runTenant lets the operator add a tenant whose name has a space. Without trouble the name has none.
func runTenant(b *bed, trouble bool) (verdict, error) {
	name := tenantPlain
	if trouble {
		name = "acme transfers"
	}
	c := newConfiguration()
	c.Tenants = []tenant{{Name: quotaTenant, Keys: []string{quotaKey}, Priority: 1}}
	c.addRoute(drainHost, drainPath, "safe", drainName, 1.2)
	if err := b.store.put("op", "config", c); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		b.addMachine(fmt.Sprintf("brno-%c", 'a'+rune(i)), drainName, 6)
	}
	if err := b.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	c.Version = "00000009"
	c.Tenants = append(c.Tenants, tenant{Name: name, Keys: []string{addedKey}, Priority: 1})
	if err := b.store.put("op", "config", c); err != nil {
		return verdict{}, err
	}
	b.record.write("the operator adds the tenant %q", name)
	time.Sleep(4 * time.Second)
	cs, stop := newCallers(b), make(chan struct{})
	cs.stream(tenantLoad, stop, func() request {
		return request{machine: b.machines[rand.IntN(len(b.machines))], method: "GET", host: drainHost, path: drainPath, key: addedKey,
			deadline: 2500 * time.Millisecond}
	}, nil)
	time.Sleep(5 * time.Second)
	close(stop)
	cs.wait()
	wrong, all, sample := 0, 0, ""
	for _, m := range b.machines {
		for _, e := range m.upstream.events() {
			all++
			if e.tenant != name {
				wrong++
				sample = e.tenant
			}
		}
	}
	if all == 0 {
		return verdict{}, fmt.Errorf("no request of tenant %q ran", name)
	}
	return verdict{
		broken: wrong > 0,
		text:   fmt.Sprintf("UNASKED: %d of %d requests of tenant %q ran with the tenant id %q", wrong, all, name, sample),
	}, nil
}
