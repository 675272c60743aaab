package baobabnode

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxSightings bounds the versions that are known and not in force. Further ones are not recorded.
const maxSightings = 32

// A sighting is the moment at which this node learned that a version exists.
type sighting struct {
	number uint64
	at     time.Time
}

// versionSightings measures how long versions that this node knows of take to come into force.
type versionSightings struct {
	fetched map[installPath]*metrics.Summary // Seconds from the sighting until the content was there.
	applied *metrics.Summary                 // Seconds from there until the version was in force.

	mu        sync.Mutex
	sightings []sighting // Guarded by mu; ascending by number, none in force.
}

func newVersionSightings(set *metrics.Set) *versionSightings {
	v := &versionSightings{
		fetched: map[installPath]*metrics.Summary{}, applied: set.NewSummary("baobab_configuration_apply_seconds"),
	}
	for _, p := range []installPath{viaSource, viaBroadcast, viaMember, viaOperator} {
		v.fetched[p] = set.NewSummary(fmt.Sprintf("baobab_configuration_fetch_seconds{via=%q}", p))
	}
	return v
}

// record records that a version exists. Only the first time counts, and only while no higher number is known.
func (v *versionSightings) record(now time.Time, number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.sightings) >= maxSightings || len(v.sightings) > 0 && v.sightings[len(v.sightings)-1].number >= number {
		return
	}
	v.sightings = append(v.sightings, sighting{number: number, at: now})
}

// inForce records that a version whose content was there at loaded is in force now. It returns how long after the first
// sighting of it, or of a lower version that never came into force, the content was there.
func (v *versionSightings) inForce(now, loaded time.Time, number uint64, via installPath) time.Duration {
	v.mu.Lock()
	first := loaded
	for len(v.sightings) > 0 && v.sightings[0].number <= number {
		if at := v.sightings[0].at; at.Before(first) {
			first = at
		}
		v.sightings = v.sightings[1:]
	}
	v.mu.Unlock()
	v.fetched[via].Update(loaded.Sub(first).Seconds())
	v.applied.Update(now.Sub(loaded).Seconds())
	return loaded.Sub(first)
}
