package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Two services with a route each.
const (
	quoteService    = "huvo11a"
	quotePath       = "/lohu930/"
	dispatchService = "wuno96b"
	dispatchPath    = "/pufi791/"
	serviceLoad     = 40.0 // Requests per second for each service.
)

// runService lets another writer send one heartbeat, with missing fields and the name of another service, for an upstream of
// the quote service. No configuration lets the quote service run dispatches.
func runService(b *bed, trouble bool) (verdict, error) {
	c := newConfiguration()
	c.addRoute(drainHost, quotePath, "safe", quoteService, 1.2)
	c.addRoute(drainHost, dispatchPath, "non_idempotent", dispatchService, 1.5)
	if err := b.store.put("op", "config", c); err != nil {
		return verdict{}, err
	}
	for i, service := range []string{quoteService, quoteService, dispatchService, dispatchService} {
		b.addMachine(fmt.Sprintf("brno-%c", 'a'+rune(i%2)), service, 6)
	}
	if err := b.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	cs, stop := newCallers(b), make(chan struct{})
	for path, method := range map[string]string{quotePath: "GET", dispatchPath: "POST"} {
		cs.stream(serviceLoad, stop, func() request {
			return request{machine: b.machines[rand.IntN(len(b.machines))], method: method, host: drainHost, path: path,
				deadline: 2500 * time.Millisecond}
		}, nil)
	}
	time.Sleep(3 * time.Second)
	u := b.machines[0].upstream
	if trouble {
		b.record.write("another writer sends a heartbeat with missing fields and another service")
		u.send(otherBeat{
			Service: dispatchService, Address: b.machines[0].address(portApp), Slots: u.slots, State: "ready", Sequence: 900, Born: u.born,
		})
	}
	time.Sleep(8 * time.Second)
	close(stop)
	cs.wait()
	return routeVerdict(b), nil
}

// routeVerdict counts the dispatches that ran at upstreams of the quote service.
func routeVerdict(b *bed) verdict {
	wrong, all := 0, 0
	for _, m := range b.machines {
		for _, e := range m.upstream.events() {
			if !strings.HasPrefix(e.path, dispatchPath) {
				continue
			}
			all++
			if m.service != dispatchService {
				wrong++
				b.record.write("wrong %s ran at %s of service %s", e.id, e.upstream, m.service)
			}
		}
	}
	return verdict{
		broken: wrong > 0,
		text:   fmt.Sprintf("ROUTE: %d of %d requests for service %s were run by an upstream of service %s", wrong, all, dispatchService, quoteService),
	}
}
