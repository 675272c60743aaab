package baobabscarcity

import (
	"math/rand/v2"
	"time"
)

// A run is the state of one scenario under one set of rules.
type run struct {
	scenario Scenario
	rules    Rules
	clock    *clock
	random   *rand.Rand
	nodes    [][]*node // By service.
	targets  []time.Duration
	calls    int
	result   *Result
}

// Run runs a scenario and returns its result.
func Run(s Scenario, rules Rules) *Result {
	r := &run{
		scenario: s, rules: rules, clock: &clock{}, random: rand.New(rand.NewPCG(s.Seed, s.Seed)), result: newResult(s),
		targets: make([]time.Duration, len(rankNames)),
	}
	for _, k := range s.Kinds {
		r.targets[k.Rank] = k.Objective
	}
	for service, share := range s.Services {
		var nodes []*node
		for range max(1, int(share*float64(s.Nodes)+0.5)) {
			nodes = append(nodes, newNode(r, service))
		}
		r.nodes = append(r.nodes, nodes)
	}
	for i, k := range s.Kinds {
		rate := k.Load * float64(len(r.nodes[k.Service])*slots) / k.Work.Seconds()
		r.arrive(i, rate)
	}
	r.clock.runUntil(s.Duration)
	return r.result
}

// arrive lets requests of a kind arrive at a rate per second (Poisson).
func (r *run) arrive(kind int, rate float64) {
	current := rate * r.scenario.Kinds[kind].loadFactor(r.scenario.disturbed(r.clock.elapsed))
	gap := time.Duration(r.random.ExpFloat64() / current * float64(time.Second))
	r.clock.after(gap, func() {
		r.result.recordRequest(r.clock.elapsed, kind)
		r.request(kind, r.clock.elapsed, 0)
		r.arrive(kind, rate)
	})
}

// request sends a request of a caller that first sent it at a time, and repeats it after a failure while that is of use
// to the caller.
func (r *run) request(kind int, first time.Duration, repeats int) {
	k := r.scenario.Kinds[kind]
	now := r.clock.now()
	c := r.newCall()
	c.kind, c.service, c.rank, c.work = kind, k.Service, k.Rank, k.Work
	c.deadline = now.Add(min(routeTimeout, first+patience-r.clock.elapsed))
	c.objective = now.Add(k.Objective)
	entry := r.nodes[k.Service][r.random.IntN(len(r.nodes[k.Service]))]
	entry.send(c, func(e callEnd) {
		if e.refusal == nil && !e.failed {
			r.result.recordAnswer(r.clock.elapsed, first, kind, r.clock.elapsed-first <= k.Objective)
			return
		}
		pause := repeatPause
		if e.refusal != nil && e.refusal.RetryAfter() > 0 {
			pause = e.refusal.RetryAfter()
		}
		if repeats >= maxRepeats || r.clock.elapsed+pause >= first+patience {
			return
		}
		r.clock.after(pause, func() { r.request(kind, first, repeats+1) })
	})
}

func (r *run) newCall() *simCall {
	r.calls++
	return &simCall{id: r.calls}
}

// serviceTime returns how long an upstream works on a call: half of the mean is fixed, the other half
// exponentially distributed.
func (r *run) serviceTime(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + 0.5*r.random.ExpFloat64()))
}

// shedShare returns the share of calls that upstreams of a service refuse now.
func (r *run) shedShare(service int) float64 {
	if service == r.scenario.Sheds && r.scenario.disturbed(r.clock.elapsed) {
		return disturbedShedShare
	}
	return r.scenario.ShedShare
}

// choose returns the less loaded of two random nodes of a service, of which a third are left while it is shrunk.
func (r *run) choose(service int) *node {
	nodes := r.nodes[service]
	if service == r.scenario.Shrinks && r.scenario.disturbed(r.clock.elapsed) {
		nodes = nodes[:max(1, len(nodes)/shrinkFactor)]
	}
	a, b := nodes[r.random.IntN(len(nodes))], nodes[r.random.IntN(len(nodes))]
	if b.load() < a.load() {
		return b
	}
	return a
}
