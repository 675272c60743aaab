package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// watcherRounds is how often the machines of a zone are cut off, for zoneCut each time. The site files name 12 s for
	// a share of 0.35 at most.
	watcherRounds = 6
	zoneCut       = 5500 * time.Millisecond
	roundPause    = 7 * time.Second
	// changes is the number of versions in a round, and changeGap the time between two of them.
	changes   = 3
	changeGap = 600 * time.Millisecond
	// probeGap is the time between two requests.
	probeGap = 50 * time.Millisecond
)

// movedServices are the services to which the versions move the route in turn.
var movedServices = []string{"one", "two", "three", "four", "five"}

// A change is a version that moves the route to a service.
type change struct {
	service      string
	acknowledged time.Time
}

// runWatchersCase checks that configurations are in force after applyTime at the only machine of a zone that is not cut
// off, if it is one that does not watch the store.
func runWatchersCase(r *record, trouble bool) (broken bool, err error) {
	var vms []vmSpec
	for i := range 13 {
		// As in the small deployment, one zone has five machines and the others have four.
		vms = append(vms, vmSpec{fmt.Sprintf("zone-%d", max(i-1, 0)/4+1), movedServices[i%len(movedServices)]})
	}
	m, err := newMesh(meshSpec{vms: vms, slots: 6, work: 5 * time.Millisecond, bounds: bounds("")}, r)
	defer m.close()
	if err != nil {
		return false, err
	}
	history := []change{m.moveRoute(0)}
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second)
	followers := m.followers("zone-1")
	if len(followers) == 0 {
		return false, errors.New("all nodes of the zone watch the store")
	}
	only := followers[len(followers)-1]
	for range watcherRounds {
		if trouble {
			r.say("all machines of zone-1 but %s are cut off", m.nodes[only].name)
			m.cutZone("zone-1", only, true)
		}
		began := time.Now()
		for range changes {
			history = append(history, m.moveRoute(len(history)))
			time.Sleep(changeGap)
		}
		if n := m.countOld(only, history, began.Add(zoneCut)); n > 0 {
			broken = true
			r.say("%d requests were run by the service of an older version", n)
		}
		m.cutZone("zone-1", only, false)
		time.Sleep(roundPause)
	}
	return broken, nil
}

// moveRoute writes the version with a number, which moves the route to the next service.
func (m *mesh) moveRoute(number int) change {
	service := movedServices[number%len(movedServices)]
	return change{service, m.configure(nil, routeSpec{"/slots/", service, "safe"})}
}

// followers returns the numbers of the nodes of a zone that do not wait for changes at the store.
func (m *mesh) followers(zone string) []int {
	var list []int
	for i, n := range m.nodes {
		if n.zone == zone && !m.store.watched(n.store) {
			list = append(list, i)
		}
	}
	m.record.say("nodes of %s that do not watch the store: %v", zone, list)
	return list
}

// cutZone cuts all machines of a zone but one off from the store and from all other machines, or heals the cut.
func (m *mesh) cutZone(zone string, except int, severed bool) {
	for i, n := range m.nodes {
		if n.zone == zone && i != except {
			m.cut(i, severed)
			m.store.setSilent(n.store, severed)
		}
	}
}

// countOld sends requests to a node until a time, and returns how many of them are run as only a version allows that is
// older than the newest one that was acknowledged applyTime before.
func (m *mesh) countOld(index int, history []change, until time.Time) int {
	c := newCaller(m.nodes[index].entry, m.record)
	old := 0
	for number := 0; time.Now().Before(until); number++ {
		a := c.send(request{method: http.MethodGet, host: routeHost, path: fmt.Sprintf("/slots/%d", number), deadline: time.Second})
		due, ran := -1, -1
		for i, v := range history {
			if a.sent.Sub(v.acknowledged) > applyTime {
				due = i
			}
			if strings.HasPrefix(a.body, v.service+" ") {
				ran = i
			}
		}
		if a.status == http.StatusOK && ran < due {
			old++
			m.record.write("%s was run by the service of version %d of the route; version %d was acknowledged %.2f s before",
				a.id, ran, due, a.sent.Sub(history[due].acknowledged).Seconds())
		}
		time.Sleep(probeGap)
	}
	return old
}
