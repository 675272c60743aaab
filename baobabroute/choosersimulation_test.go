package baobabroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The simulation compares strategies for selecting an endpoint when each ingress node knows the load only from the
// answers to its own calls, which are outdated by the time of the next choice.
const (
	simulationSlots       = 6
	simulationCalls       = 8_000
	simulationServiceTime = 5 * time.Millisecond // Mean, exponential.
	simulationLinkDelay   = time.Millisecond     // One way.
	simulationSeed        = 20261204
)

// simulationScenario describes the nodes, the load and the disturbance of a simulation.
type simulationScenario struct {
	name                 string
	ingresses, endpoints int
	load                 float64 // Fraction of the capacity of all endpoints if they are equally fast.
	slow                 bool    // The first endpoint has four times the service time.
	joins                bool    // The last endpoint joins after half of the calls.
}

type simulatedCall struct {
	ingress, endpoint int
	startedAt         time.Time
	queuedAt          time.Time
	wait              time.Duration
}

type simulationEvent struct {
	at       time.Time
	sequence int // Breaks ties, so that a run is deterministic.
	do       func(now time.Time)
}

type simulationEvents []simulationEvent

func (e simulationEvents) Len() int { return len(e) }
func (e simulationEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence)
}
func (e simulationEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simulationEvents) Push(x any)   { *e = append(*e, x.(simulationEvent)) }
func (e *simulationEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates one selection strategy in one scenario.
type simulation struct {
	events       simulationEvents
	sequence     int
	random       *rand.Rand
	scenario     simulationScenario
	set          *CandidateSet
	stats        []*EndpointStats // By ingress.
	choosers     []*Chooser
	choose       func(x *simulation, now time.Time, ingress int) int
	running      []int // By endpoint.
	queue        [][]*simulatedCall
	longestQueue int
	latencies    []time.Duration
}

func newSimulation(choose func(*simulation, time.Time, int) int, scenario simulationScenario) *simulation {
	x := &simulation{
		random:   rand.New(rand.NewPCG(simulationSeed, 0)),
		scenario: scenario,
		choose:   choose,
		running:  make([]int, scenario.endpoints),
		queue:    make([][]*simulatedCall, scenario.endpoints),
	}
	x.setEndpoints(scenario.endpoints)
	if scenario.joins {
		x.setEndpoints(scenario.endpoints - 1)
	}
	for range scenario.ingresses {
		s := NewEndpointStats()
		x.stats = append(x.stats, s)
		x.choosers = append(x.choosers, NewChooser(s))
	}
	return x
}

// setEndpoints gives all ingress nodes the first n endpoints.
func (x *simulation) setEndpoints(n int) {
	var cs []Candidate
	for i := range n {
		cs = append(cs, NewCandidate(fmt.Sprintf("e-%03d", i), "", "a", "r1", simulationSlots, time.Time{}))
	}
	x.set = NewCandidateSet("quotes", "a", "r1", cs)
}

func (x *simulation) schedule(at time.Time, do func(now time.Time)) {
	x.sequence++
	heap.Push(&x.events, simulationEvent{at: at, sequence: x.sequence, do: do})
}

// run simulates all calls and returns their latencies, sorted.
func (x *simulation) run() []time.Duration {
	gap := float64(simulationServiceTime) / (x.scenario.load * simulationSlots * float64(x.scenario.endpoints))
	at := start
	for i := range simulationCalls {
		at = at.Add(time.Duration(x.random.ExpFloat64() * gap))
		x.schedule(at, func(now time.Time) { x.begin(now, i%x.scenario.ingresses) })
		if x.scenario.joins && i == simulationCalls/2 {
			x.schedule(at, func(time.Time) { x.setEndpoints(x.scenario.endpoints) })
		}
	}
	for len(x.events) > 0 {
		e := heap.Pop(&x.events).(simulationEvent)
		e.do(e.at)
	}
	slices.Sort(x.latencies)
	return x.latencies
}

func (x *simulation) begin(now time.Time, ingress int) {
	c := &simulatedCall{ingress: ingress, endpoint: x.choose(x, now, ingress), startedAt: now}
	x.stats[ingress].RecordStart(now, x.endpointID(c))
	x.schedule(now.Add(simulationLinkDelay), func(now time.Time) {
		c.queuedAt = now
		x.queue[c.endpoint] = append(x.queue[c.endpoint], c)
		x.longestQueue = max(x.longestQueue, len(x.queue[c.endpoint]))
		x.serve(now, c.endpoint)
	})
}

func (x *simulation) endpointID(c *simulatedCall) string { return x.set.candidates[c.endpoint].id }

func (x *simulation) serve(now time.Time, endpoint int) {
	for x.running[endpoint] < simulationSlots && len(x.queue[endpoint]) > 0 {
		c := x.queue[endpoint][0]
		x.queue[endpoint] = x.queue[endpoint][1:]
		x.running[endpoint]++
		c.wait = now.Sub(c.queuedAt)
		service := x.random.ExpFloat64() * float64(simulationServiceTime)
		if endpoint == 0 && x.scenario.slow {
			service *= 4
		}
		x.schedule(now.Add(time.Duration(service)), func(now time.Time) { x.end(now, c) })
	}
}

func (x *simulation) end(now time.Time, c *simulatedCall) {
	x.running[c.endpoint]--
	report := NewLoad(x.running[c.endpoint], simulationSlots, len(x.queue[c.endpoint]), c.wait)
	x.serve(now, c.endpoint)
	x.schedule(now.Add(simulationLinkDelay), func(now time.Time) {
		latency := now.Sub(c.startedAt)
		x.stats[c.ingress].RecordLoad(now, x.endpointID(c), report)
		x.stats[c.ingress].RecordResult(now, x.endpointID(c), NewResult(VerdictSuccess, latency))
		x.latencies = append(x.latencies, latency)
	})
}

func chooseRandom(x *simulation, _ time.Time, _ int) int { return x.random.IntN(x.set.Len()) }

func chooseBetterOfTwo(x *simulation, now time.Time, ingress int) int {
	c, _ := x.choosers[ingress].Choose(now, x.random, x.set, nil)
	return x.set.indexByID[c.id]
}

func chooseLowestLatency(x *simulation, now time.Time, ingress int) int {
	best, wait := 0, time.Duration(0)
	offset := x.random.IntN(x.set.Len())
	for n := range x.set.Len() {
		i := (offset + n) % x.set.Len()
		c := x.set.candidates[i]
		if w := x.stats[ingress].Snapshot(now, c.id).expectedLatency(c.slots); n == 0 || w < wait {
			best, wait = i, w
		}
	}
	return best
}

// TestChoiceExperiment guards against a chooser whose worst scenario is worse than that of the strategies it replaces.
func TestChoiceExperiment(t *testing.T) {
	strategies := []struct {
		name   string
		choose func(*simulation, time.Time, int) int
	}{{"one random", chooseRandom}, {"two random, lower latency", chooseBetterOfTwo}, {"lowest latency of all", chooseLowestLatency}}
	scenarios := []simulationScenario{
		{"equal", 13, 4, 0.85, false, false},
		{"one is 4 times slower", 13, 4, 0.6, true, false},
		{"one joins", 13, 4, 0.7, false, true},
		{"equal", 60, 30, 0.85, false, false},
		{"one is 4 times slower", 60, 30, 0.6, true, false},
		{"one joins", 60, 30, 0.85, false, true},
	}
	worst := map[string]float64{} // Highest p99 as a multiple of that of the best strategy in the same scenario.
	var table strings.Builder
	fmt.Fprintf(&table, "seed %d, %d calls\n| ingress nodes | endpoints | scenario | load | strategy | mean ms | p50 ms | p99 ms | longest queue |\n|---|---|---|---|---|---|---|---|---|\n", simulationSeed, simulationCalls)
	for _, scenario := range scenarios {
		p99 := map[string]time.Duration{}
		for _, strategy := range strategies {
			x := newSimulation(strategy.choose, scenario)
			l := x.run()
			var sum time.Duration
			for _, d := range l {
				sum += d
			}
			p99[strategy.name] = l[len(l)*99/100]
			fmt.Fprintf(&table, "| %d | %d | %s | %.0f%% | %s | %.1f | %.1f | %.1f | %d |\n", scenario.ingresses, scenario.endpoints, scenario.name, scenario.load*100,
				strategy.name, milliseconds(sum/time.Duration(len(l))), milliseconds(l[len(l)/2]), milliseconds(p99[strategy.name]), x.longestQueue)
		}
		best := min(p99[strategies[0].name], p99[strategies[1].name], p99[strategies[2].name])
		for name, d := range p99 {
			worst[name] = max(worst[name], float64(d)/float64(best))
		}
	}
	for _, strategy := range strategies {
		fmt.Fprintf(&table, "%s: p99 at most %.2f times that of the best strategy\n", strategy.name, worst[strategy.name])
	}
	t.Log(table.String())
	chooser := worst[strategies[1].name]
	if chooser > worst[strategies[0].name] || chooser > worst[strategies[2].name] {
		t.Errorf("worst p99 as a multiple of that of the best strategy = %v, want the chooser's to be the lowest", worst)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
