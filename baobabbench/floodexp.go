package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// floodCmd measures which share of calls is answered within the target of its rank while one rank arrives at a
// multiple of the capacity, at the most urgent service of a deployment. All times are stretched, service times and
// targets alike, and there are fewer upstreams, so that one machine can offer the multiple; ranks, floors and slots are
// the deployment's.
type floodCmd struct {
	Deployments []string      `arg:"--deployments" help:"[default: booking repair]"`
	Multiple    float64       `arg:"--multiple" default:"10" help:"flood as a multiple of the capacity"`
	Time        time.Duration `arg:"--time" default:"12s" help:"length of a flood; its first 3 s are not counted"`
	Settle      time.Duration `arg:"--settle" default:"3s" help:"normal load before each flood"`
	Ranks       []string      `arg:"--ranks" help:"ranks that flood [default: deferrable urgent]"`
	Flooders    []int         `arg:"--flooders" help:"numbers of callers that send the flood [default: 1 50]"`
	Floors      []bool        `arg:"--floors" help:"with and without floors [default: true false]"`
}

// floodSettle is left out at the begin of a flood, while queues fill and estimates adapt.
const floodSettle = 3 * time.Second

// floodWarmUp is the time after the start of upstreams in which nodes let fewer calls run.
const floodWarmUp = 12 * time.Second

// A floodPlace is the flooded service of a deployment.
type floodPlace struct {
	deployment string
	service    string
	upstreams  int
	slots      int
	serviceMs  int
	stretch    int // Of service times and targets.
}

// capacity returns the calls per second that the upstreams can run.
func (p floodPlace) capacity() float64 {
	return float64(p.upstreams*p.slots) * 1000 / float64(p.serviceMs)
}

var floodPlaces = []floodPlace{
	{"booking", "availability", 2, 6, 48, 12},
	{"repair", "quotes", 2, 18, 120, 24},
}

// floodLoads are the normal loads by rank as shares of the capacity.
var floodLoads = []struct {
	rank  string
	share float64
}{{"urgent", 0.3}, {"transaction", 0.2}, {"deferrable", 0.1}}

// A floodCase is one flood.
type floodCase struct {
	rank     string // That floods.
	flooders int    // Callers that send the flood.
	floors   bool
}

// normalCallers is the number of callers of each rank at normal load.
const normalCallers = 5

// A floodCall is one scheduled call.
type floodCall struct {
	at     time.Duration
	rank   string
	caller string
	flood  bool
	keyed  bool
}

// A floodTally counts the calls of one rank or caller.
type floodTally struct {
	offered, answered, inTarget int
	latency                     *histogram
	reasons                     map[string]int // Calls that were not answered.
}

func (t *floodTally) share() float64 { return 100 * float64(t.inTarget) / float64(max(t.offered, 1)) }

func (c *floodCmd) run(ctx context.Context, b *bench) error {
	if len(c.Deployments) == 0 {
		c.Deployments = []string{"booking", "repair"}
	}
	if len(c.Ranks) == 0 {
		c.Ranks = []string{"deferrable", "urgent"}
	}
	if len(c.Flooders) == 0 {
		c.Flooders = []int{1, 50}
	}
	if len(c.Floors) == 0 {
		c.Floors = []bool{true, false}
	}
	t := b.report.table("Calls during the flood, by rank; service times and targets stretched 12 times (booking), 24 times (repair)", "deployment", "flood of", "flooders", "floors",
		"calls of", "offered/s", "answered/s", "in target %", "p50 ms", "p99 ms", "worst caller %", "concurrency limits", "not answered")
	v := b.report.table("Contradictions between callers and upstreams", "deployment", "calls", "runs", "violations")
	f := b.report.figure("Share answered within the target, normal callers", "case", "%")
	for _, p := range floodPlaces {
		if !slices.Contains(c.Deployments, p.deployment) {
			continue
		}
		if err := c.runPlace(ctx, b, p, t, v, f); err != nil {
			return err
		}
	}
	return nil
}

func (c *floodCmd) runPlace(ctx context.Context, b *bench, p floodPlace, t, v *table, f *figure) error {
	example, err := exampleResources(b.binaries, p.deployment)
	if err != nil {
		return err
	}
	example = example.stretched(p.deployment, p.stretch)
	m, err := b.startMesh(ctx, b.binaries, p.spec(b.seed), append(slices.Clone(example), p.routes()...))
	if err != nil {
		return err
	}
	defer m.Close()
	if err := pause(ctx, floodWarmUp); err != nil {
		return err
	}
	caller := baobabemulator.NewCaller("flood")
	defer caller.Close()
	number := 0
	for _, floors := range c.Floors {
		policy := example.withoutFloors(p.deployment)
		if floors {
			policy = example
		}
		version, err := m.apply(ctx, policy)
		if err != nil {
			return err
		}
		if err := m.WaitInForce(ctx, version); err != nil {
			return err
		}
		for _, rank := range c.Ranks {
			for _, flooders := range c.Flooders {
				number++
				fc := floodCase{rank, flooders, floors}
				records := c.flood(ctx, b, m, p, fc, caller, number)
				limits := floodLimits(ctx, m.NodesOfService(p.service))
				if err := c.tally(p, fc, example, records, number, limits, t, f); err != nil {
					return err
				}
			}
		}
	}
	runs, err := m.Runs()
	if err != nil {
		return err
	}
	records := caller.Records()
	list := baobabemulator.Violations(records, runs)
	for _, text := range list[:min(5, len(list))] {
		fmt.Println("violation:", text)
	}
	v.add(p.deployment, len(records), len(runs), len(list))
	return nil
}

// spec returns the deployment's mesh with the slots and service time of the flooded service changed.
func (p floodPlace) spec(seed uint64) *baobabemulator.MeshSpec {
	const connections = 130
	services := []baobabemulator.MeshService{
		baobabemulator.NewMeshService(p.service, p.upstreams, p.slots, connections, time.Duration(p.serviceMs)*time.Millisecond),
		baobabemulator.NewMeshService("reservations", 3, p.slots, connections, 10*time.Millisecond),
	}
	if p.deployment == "repair" {
		services[1] = baobabemulator.NewMeshService("dispatch", 3, p.slots, connections, 10*time.Millisecond)
	}
	return baobabemulator.NewMeshSpec(3, services, baobabemulator.WithMeshSeed(seed))
}

// routes returns a route for each rank to the flooded service, and one for keyed calls.
func (p floodPlace) routes() resources {
	var list resources
	add := func(name, method, rank, timeout string, idempotent bool) {
		list = append(list, resource{Kind: "route", Name: "flood-" + name, Text: map[string]any{
			"path_prefix": "/flood/" + name, "methods": []string{method}, "service": p.service, "policy": p.deployment,
			"rank": rank, "timeout": timeout, "idempotent": idempotent, "require_idempotency_key": !idempotent,
		}})
	}
	add("urgent", "GET", "urgent", "3s", true)
	add("transaction", "GET", "transaction", "8s", true)
	add("order", "POST", "transaction", "8s", false)
	add("deferrable", "GET", "deferrable", "15s", true)
	return list
}

// schedule returns the calls of a case: normal load all the time, and the flood after the settling time.
func (c *floodCmd) schedule(seed uint64, p floodPlace, fc floodCase) []floodCall {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []floodCall
	for _, l := range floodLoads {
		for i, at := range poisson(random, l.share*p.capacity(), c.Settle+c.Time) {
			list = append(list, floodCall{
				at: at, rank: l.rank, caller: fmt.Sprintf("%s-%d", l.rank, random.IntN(normalCallers)),
				keyed: l.rank == "transaction" && i%2 == 0,
			})
		}
	}
	for _, at := range poisson(random, c.Multiple*p.capacity(), c.Time) {
		list = append(list, floodCall{
			at: c.Settle + at, rank: fc.rank, caller: fmt.Sprintf("flooder-%d", random.IntN(fc.flooders)), flood: true,
		})
	}
	slices.SortStableFunc(list, func(a, b floodCall) int { return int(a.at - b.at) })
	return list
}

// A floodRecord is a call and what came of it.
type floodRecord struct {
	floodCall
	latency  time.Duration // From the scheduled time.
	answered bool
	reason   string // Of the refusal or failure; empty when answered.
}

func (c *floodCmd) flood(ctx context.Context, b *bench, m *meshRun, p floodPlace, fc floodCase, caller *baobabemulator.Caller, number int) []floodRecord {
	calls := c.schedule(b.seed+uint64(number), p, fc)
	schedule := make([]time.Duration, len(calls))
	for i, v := range calls {
		schedule[i] = v.at
	}
	nodes := m.Nodes()
	records := make([]floodRecord, len(calls))
	openLoop(ctx, schedule, func(i int, scheduled time.Time) {
		r := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/flood/" + calls[i].rank, Caller: calls[i].caller}
		if calls[i].keyed {
			r.Method, r.Path, r.Key = http.MethodPost, "/flood/order", fmt.Sprintf("key-%d-%d", number, i)
		}
		record := caller.Do(ctx, nodes[i%len(nodes)].EntryURL(), r)
		records[i] = floodRecord{calls[i], record.End.Sub(scheduled), record.Answered(), floodReason(record)}
	})
	return records
}

// floodReason returns why a call was not answered.
func floodReason(r baobabemulator.CallerRecord) string {
	switch {
	case r.Answered():
		return ""
	case r.Refusal != "":
		return r.Refusal
	default:
		return "no_answer"
	}
}

// floodLimits returns the learnt concurrency limits of nodes.
func floodLimits(ctx context.Context, nodes []*baobabemulator.MeshNode) string {
	var list []string
	for _, m := range readAllMetrics(ctx, nodes) {
		list = append(list, fmt.Sprint(m["baobab_admission_limit"]))
	}
	return strings.Join(list, "+")
}

// reasonList returns the numbers of calls by reason, most frequent first.
func (t *floodTally) reasonList() string {
	names := slices.SortedFunc(maps.Keys(t.reasons), func(a, b string) int { return t.reasons[b] - t.reasons[a] })
	var list []string
	for _, name := range names[:min(3, len(names))] {
		list = append(list, fmt.Sprintf("%s %d", name, t.reasons[name]))
	}
	return strings.Join(list, ", ")
}

func (c *floodCmd) tally(p floodPlace, fc floodCase, example resources, records []floodRecord, number int, limits string, t *table, f *figure) error {
	tallies := map[string]*floodTally{}
	add := func(name string, r floodRecord, target time.Duration) {
		v, ok := tallies[name]
		if !ok {
			v = &floodTally{latency: newHistogram(), reasons: map[string]int{}}
			tallies[name] = v
		}
		v.offered++
		if !r.answered {
			v.reasons[r.reason]++
			return
		}
		v.answered++
		v.latency.record(r.latency)
		if r.latency <= target {
			v.inTarget++
		}
	}
	for _, r := range records {
		if r.at < c.Settle+floodSettle {
			continue
		}
		target, err := example.target(p.deployment, r.rank)
		if err != nil {
			return err
		}
		if r.flood {
			add("flood", r, target)
			continue
		}
		add(r.rank, r, target)
		add(r.caller, r, target)
	}
	seconds := (c.Time - floodSettle).Seconds()
	for _, name := range []string{"urgent", "transaction", "deferrable", "flood"} {
		v := tallies[name]
		worst := ""
		if name != "flood" {
			low := v.share()
			for i := range normalCallers {
				if w, ok := tallies[fmt.Sprintf("%s-%d", name, i)]; ok {
					low = min(low, w.share())
				}
			}
			worst = fmt.Sprintf("%.1f", low)
			f.add(p.deployment+" "+name, float64(number), v.share())
		}
		t.add(p.deployment, fc.rank, fc.flooders, fc.floors, name, float64(v.offered)/seconds, float64(v.answered)/seconds,
			v.share(), v.latency.ms(50), v.latency.ms(99), worst, limits, v.reasonList())
	}
	return nil
}
