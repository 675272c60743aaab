package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	drainLimit = 2500 * time.Millisecond // drain_s
	drainHost  = "ficu95.example"
	drainPath  = "/lohu930/"
	drainName  = "huvo11a"
	drainLoad  = 60.0 // Requests per second.
	// drainStay is how long the upstream goes on serving after its leaving was acknowledged.
	drainStay = 8 * time.Second
)

// An otherBeat is a heartbeat of another writer, in which zone, version and cold_remaining_s are missing.
type otherBeat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence uint64 `json:"sequence"`
	Born     int64  `json:"born"`
}

// startDrainBed starts three machines of one service and a stream of requests that ends with stop.
func startDrainBed(b *bed, cs *callers, stop <-chan struct{}) error {
	c := newConfiguration()
	c.addRoute(drainHost, drainPath, "safe", drainName, 1.2)
	if err := b.store.put("op", "config", c); err != nil {
		return err
	}
	for i := range 3 {
		b.addMachine(fmt.Sprintf("brno-%c", 'a'+rune(i)), drainName, 6)
	}
	if err := b.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cs.stream(drainLoad, stop, func() request {
		return request{machine: b.machines[rand.IntN(len(b.machines))], method: "GET", host: drainHost, path: drainPath,
			deadline: 2500 * time.Millisecond}
	}, nil)
	time.Sleep(4 * time.Second)
	return nil
}

// runHeartbeat lets another writer send one heartbeat with missing fields. Later the upstream reports that it drains.
func runHeartbeat(b *bed, trouble bool) (verdict, error) {
	cs, stop := newCallers(b), make(chan struct{})
	if err := startDrainBed(b, cs, stop); err != nil {
		return verdict{}, err
	}
	u := b.machines[0].upstream
	if trouble {
		o := otherBeat{
			Service: drainName, Address: b.machines[0].address(portApp), Slots: u.slots, State: "ready", Sequence: 900, Born: u.born,
		}
		b.record.write("another writer sends a heartbeat with missing fields")
		u.send(o)
	}
	time.Sleep(3 * time.Second)
	u.setState("draining")
	if !u.heartbeat() {
		return verdict{}, fmt.Errorf("the node did not acknowledge that the upstream drains")
	}
	acknowledged := b.record.now()
	time.Sleep(drainStay)
	u.leave()
	time.Sleep(time.Second)
	close(stop)
	cs.wait()
	return drainVerdict(b, u, acknowledged, 0), nil
}

// drainVerdict counts the requests that reached an upstream too late after its leaving was acknowledged, from the time on at
// which all machines are in touch.
func drainVerdict(b *bed, u *upstream, acknowledged, inTouch time.Duration) verdict {
	late := 0
	for _, e := range u.events() {
		if e.at > acknowledged+drainLimit && e.at > inTouch {
			late++
			b.record.write("late %s ran at %.3f s, %.3f s after the acknowledgement", e.id, e.at.Seconds(), (e.at - acknowledged).Seconds())
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("DRAIN: %d requests reached %s more than %s after its leaving was acknowledged at %.3f s",
			late, u.id, drainLimit, acknowledged.Seconds()),
	}
}
