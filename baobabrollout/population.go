package baobabrollout

import "time"

// A Population is the number of upstreams of a service with one version, and the sum of the times since they started.
type Population struct {
	upstreams int
	age       time.Duration
}

// Populations holds the population of each version of one service; the version of an upstream that states none is empty.
type Populations map[string]Population

// Add counts an upstream that started at a time, or that has warmed up if the time is zero.
func (p Populations) Add(now time.Time, version string, startedAt time.Time) {
	age := unknownAge
	if !startedAt.IsZero() {
		age = min(max(now.Sub(startedAt), 0), unknownAge)
	}
	v := p[version]
	p[version] = Population{upstreams: v.upstreams + 1, age: v.age + age}
}

// unknownAge is the greatest age that counts, so that one old upstream does not outweigh many.
const unknownAge = 5 * time.Minute

// versions returns the number of stated versions.
func (p Populations) versions() int {
	n := len(p)
	if _, ok := p[""]; ok {
		n--
	}
	return n
}

// eldest returns the version, other than except, whose upstreams have the greatest total age, or an empty string. Upstreams
// of a new version are younger, and after a restart of all upstreams the majority has the greatest total age.
func (p Populations) eldest(except string) string {
	best := ""
	for version, v := range p {
		if version == "" || version == except {
			continue
		}
		if b := p[best]; best == "" || v.age > b.age || v.age == b.age && (v.upstreams > b.upstreams || v.upstreams == b.upstreams && version < best) {
			best = version
		}
	}
	return best
}
