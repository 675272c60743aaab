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

// The experiment compares ways to choose an endpoint when each ingress node knows the load only from the answers to
// its own calls, which are old by the time of the next choice.
const (
	experimentSlots   = 6
	experimentCalls   = 8_000
	experimentService = 5 * time.Millisecond // Mean, exponential.
	experimentLink    = time.Millisecond     // One way.
	experimentSeed    = 20261204
)

// experimentScene is a fleet and what happens to it.
type experimentScene struct {
	name                 string
	ingresses, endpoints int
	load                 float64 // Share of the capacity of equal endpoints.
	slow                 bool    // The first endpoint has four times the service time.
	joins                bool    // The last endpoint joins after half of the calls.
}

type experimentCall struct {
	ingress, endpoint int
	startedAt         time.Time
	queuedAt          time.Time
	wait              time.Duration
}

type experimentEvent struct {
	at   time.Time
	turn int // Breaks ties, so that a run is deterministic.
	do   func(now time.Time)
}

type experimentEvents []experimentEvent

func (e experimentEvents) Len() int { return len(e) }
func (e experimentEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].turn < e[j].turn)
}
func (e experimentEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *experimentEvents) Push(x any)   { *e = append(*e, x.(experimentEvent)) }
func (e *experimentEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// experiment simulates one way to choose.
type experiment struct {
	events    experimentEvents
	turn      int
	random    *rand.Rand
	scene     experimentScene
	set       *Set
	signals   []*Signals // By ingress.
	choosers  []*Chooser
	choose    func(x *experiment, now time.Time, ingress int) int
	running   []int // By endpoint.
	queue     [][]*experimentCall
	longest   int
	latencies []time.Duration
}

func newExperiment(choose func(*experiment, time.Time, int) int, scene experimentScene) *experiment {
	x := &experiment{
		random:  rand.New(rand.NewPCG(experimentSeed, 0)),
		scene:   scene,
		choose:  choose,
		running: make([]int, scene.endpoints),
		queue:   make([][]*experimentCall, scene.endpoints),
	}
	x.setEndpoints(scene.endpoints)
	if scene.joins {
		x.setEndpoints(scene.endpoints - 1)
	}
	for range scene.ingresses {
		s := NewSignals()
		x.signals = append(x.signals, s)
		x.choosers = append(x.choosers, NewChooser(s))
	}
	return x
}

// setEndpoints gives all ingress nodes the first n endpoints.
func (x *experiment) setEndpoints(n int) {
	var cs []Candidate
	for i := range n {
		cs = append(cs, NewCandidate(fmt.Sprintf("e-%03d", i), "", "a", "r1", experimentSlots, time.Time{}))
	}
	x.set = NewSet("quotes", "a", "r1", cs)
}

func (x *experiment) schedule(at time.Time, do func(now time.Time)) {
	x.turn++
	heap.Push(&x.events, experimentEvent{at: at, turn: x.turn, do: do})
}

// run makes the calls and returns the sorted latencies.
func (x *experiment) run() []time.Duration {
	gap := float64(experimentService) / (x.scene.load * experimentSlots * float64(x.scene.endpoints))
	at := start
	for i := range experimentCalls {
		at = at.Add(time.Duration(x.random.ExpFloat64() * gap))
		x.schedule(at, func(now time.Time) { x.begin(now, i%x.scene.ingresses) })
		if x.scene.joins && i == experimentCalls/2 {
			x.schedule(at, func(time.Time) { x.setEndpoints(x.scene.endpoints) })
		}
	}
	for len(x.events) > 0 {
		e := heap.Pop(&x.events).(experimentEvent)
		e.do(e.at)
	}
	slices.Sort(x.latencies)
	return x.latencies
}

func (x *experiment) begin(now time.Time, ingress int) {
	c := &experimentCall{ingress: ingress, endpoint: x.choose(x, now, ingress), startedAt: now}
	x.signals[ingress].Started(now, x.id(c))
	x.schedule(now.Add(experimentLink), func(now time.Time) {
		c.queuedAt = now
		x.queue[c.endpoint] = append(x.queue[c.endpoint], c)
		x.longest = max(x.longest, len(x.queue[c.endpoint]))
		x.serve(now, c.endpoint)
	})
}

func (x *experiment) id(c *experimentCall) string { return x.set.candidates[c.endpoint].id }

func (x *experiment) serve(now time.Time, endpoint int) {
	for x.running[endpoint] < experimentSlots && len(x.queue[endpoint]) > 0 {
		c := x.queue[endpoint][0]
		x.queue[endpoint] = x.queue[endpoint][1:]
		x.running[endpoint]++
		c.wait = now.Sub(c.queuedAt)
		service := x.random.ExpFloat64() * float64(experimentService)
		if endpoint == 0 && x.scene.slow {
			service *= 4
		}
		x.schedule(now.Add(time.Duration(service)), func(now time.Time) { x.end(now, c) })
	}
}

func (x *experiment) end(now time.Time, c *experimentCall) {
	x.running[c.endpoint]--
	report := NewLoad(x.running[c.endpoint], experimentSlots, len(x.queue[c.endpoint]), c.wait)
	x.serve(now, c.endpoint)
	x.schedule(now.Add(experimentLink), func(now time.Time) {
		latency := now.Sub(c.startedAt)
		x.signals[c.ingress].Reported(now, x.id(c), report)
		x.signals[c.ingress].Finished(now, x.id(c), NewResult(VerdictSuccess, latency))
		x.latencies = append(x.latencies, latency)
	})
}

func chooseRandom(x *experiment, _ time.Time, _ int) int { return x.random.IntN(x.set.Len()) }

func chooseOfTwo(x *experiment, now time.Time, ingress int) int {
	c, _ := x.choosers[ingress].Choose(now, x.random, x.set, nil)
	return x.set.index[c.id]
}

func chooseLeastOfAll(x *experiment, now time.Time, ingress int) int {
	best, wait := 0, time.Duration(0)
	offset := x.random.IntN(x.set.Len())
	for n := range x.set.Len() {
		i := (offset + n) % x.set.Len()
		c := x.set.candidates[i]
		if w := x.signals[ingress].State(now, c.id).expectedWait(c.slots); n == 0 || w < wait {
			best, wait = i, w
		}
	}
	return best
}

// TestChoiceExperiment guards against a chooser whose worst scene is worse than that of the ways which it replaces.
func TestChoiceExperiment(t *testing.T) {
	ways := []struct {
		name   string
		choose func(*experiment, time.Time, int) int
	}{{"one random", chooseRandom}, {"two random, shorter wait", chooseOfTwo}, {"least of all", chooseLeastOfAll}}
	scenes := []experimentScene{
		{"equal", 13, 4, 0.85, false, false},
		{"one is 4 times slower", 13, 4, 0.6, true, false},
		{"one joins", 13, 4, 0.7, false, true},
		{"equal", 60, 30, 0.85, false, false},
		{"one is 4 times slower", 60, 30, 0.6, true, false},
		{"one joins", 60, 30, 0.85, false, true},
	}
	worst := map[string]float64{} // Highest p99 as a multiple of the best way in the same scene.
	var table strings.Builder
	fmt.Fprintf(&table, "seed %d, %d calls\n| ingress nodes | endpoints | scene | load | way | mean ms | p50 ms | p99 ms | longest queue |\n|---|---|---|---|---|---|---|---|---|\n", experimentSeed, experimentCalls)
	for _, scene := range scenes {
		p99 := map[string]time.Duration{}
		for _, way := range ways {
			x := newExperiment(way.choose, scene)
			l := x.run()
			var sum time.Duration
			for _, d := range l {
				sum += d
			}
			p99[way.name] = l[len(l)*99/100]
			fmt.Fprintf(&table, "| %d | %d | %s | %.0f%% | %s | %.1f | %.1f | %.1f | %d |\n", scene.ingresses, scene.endpoints, scene.name, scene.load*100,
				way.name, milliseconds(sum/time.Duration(len(l))), milliseconds(l[len(l)/2]), milliseconds(p99[way.name]), x.longest)
		}
		best := min(p99[ways[0].name], p99[ways[1].name], p99[ways[2].name])
		for name, d := range p99 {
			worst[name] = max(worst[name], float64(d)/float64(best))
		}
	}
	for _, way := range ways {
		fmt.Fprintf(&table, "%s: p99 at most %.2f times that of the best way\n", way.name, worst[way.name])
	}
	t.Log(table.String())
	chooser := worst[ways[1].name]
	if chooser > worst[ways[0].name] || chooser > worst[ways[2].name] {
		t.Errorf("worst p99 as a multiple of the best way = %v, want the chooser's to be the lowest", worst)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
