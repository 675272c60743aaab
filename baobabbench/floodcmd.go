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

// floodCmd measures the share of calls that are answered within the latency target of their rank while the calls of one
// rank arrive at a multiple of the capacity, at the most urgent service of a deployment. Ranks, floors and slots are
// those of the deployment. Service times and targets are scaled up by the same factor and there are fewer upstreams, so
// that one machine can generate the load.
type floodCmd struct {
	Deployments []string      `arg:"--deployments" help:"[default: booking repair]"`
	Multiple    float64       `arg:"--multiple" default:"10" help:"flood as a multiple of the capacity"`
	Time        time.Duration `arg:"--time" default:"12s" help:"length of a flood; its first 3 s are not counted"`
	Settle      time.Duration `arg:"--settle" default:"3s" help:"normal load before each flood"`
	Ranks       []string      `arg:"--ranks" help:"ranks that flood [default: deferrable urgent]"`
	Flooders    []int         `arg:"--flooders" help:"numbers of callers that send the flood [default: 1 50]"`
	Floors      []bool        `arg:"--floors" help:"with and without floors [default: true false]"`
}

// floodRampUp is the first part of a flood, which is not counted, because queues still fill and estimates still adapt.
const floodRampUp = 3 * time.Second

// upstreamWarmUp is the time after the start of an upstream in which its node admits fewer calls than later.
const upstreamWarmUp = 12 * time.Second

// A floodedService is the service of a deployment that receives the flood.
type floodedService struct {
	deployment string
	service    string
	upstreams  int
	slots      int // Of each upstream.
	serviceMs  int // Service time in milliseconds, scaled.
	timeScale  int // Factor of serviceMs and of latency targets over those of the deployment.
}

// capacity returns the calls per second that all upstreams together can run.
func (s floodedService) capacity() float64 {
	return float64(s.upstreams*s.slots) * 1000 / float64(s.serviceMs)
}

var floodedServices = []floodedService{
	{"booking", "availability", 2, 6, 48, 12},
	{"repair", "quotes", 2, 18, 120, 24},
}

// normalLoads are the loads of the ranks without a flood, as shares of the capacity.
var normalLoads = []struct {
	rank  string
	share float64
}{{"urgent", 0.3}, {"transaction", 0.2}, {"deferrable", 0.1}}

// A floodCase holds the parameters of one flood.
type floodCase struct {
	rank     string // Rank of the flood.
	flooders int    // Number of callers that send the flood.
	floors   bool   // Whether the policy has floors for ranks and callers.
}

// callersPerRank is the number of callers that send the normal load of each rank.
const callersPerRank = 5

// A scheduledCall is one call of the generated load.
type scheduledCall struct {
	at     time.Duration // Since the start of the case.
	rank   string
	caller string
	flood  bool // Part of the flood, not of the normal load.
	keyed  bool // A POST with an idempotency key.
}

// callStats are the statistics of the calls of one group, such as a rank or a caller.
type callStats struct {
	offered, answered, inTarget int
	latency                     *histogram     // Of answered calls.
	failureReasons              map[string]int // Number of calls without an answer, by reason.
}

// inTargetPercent returns the share of offered calls that were answered within their target.
func (s *callStats) inTargetPercent() float64 {
	return 100 * float64(s.inTarget) / float64(max(s.offered, 1))
}

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
	resultTable := b.report.addTable("Calls during the flood, by rank; service times and targets stretched 12 times (booking), 24 times (repair)",
		"deployment", "flood of", "flooders", "floors", "calls of", "offered/s", "answered/s", "in target %", "p50 ms", "p99 ms",
		"worst caller %", "concurrency limits", "not answered")
	violationTable := b.report.addTable("Contradictions between callers and upstreams",
		"deployment", "calls", "runs", "violations")
	shares := b.report.addFigure("Share answered within the target, normal callers", "case", "%")
	for _, s := range floodedServices {
		if !slices.Contains(c.Deployments, s.deployment) {
			continue
		}
		if err := c.floodService(ctx, b, s, resultTable, violationTable, shares); err != nil {
			return err
		}
	}
	return nil
}

// floodService runs all cases against one service and adds their results to the tables and the figure.
func (c *floodCmd) floodService(
	ctx context.Context, b *bench, s floodedService, resultTable, violationTable *table, shares *figure,
) error {
	example, err := exampleResources(b.binaries, s.deployment)
	if err != nil {
		return err
	}
	example = example.withScaledTargets(s.deployment, s.timeScale)
	m, err := b.startMesh(ctx, b.binaries, s.spec(b.seed), append(slices.Clone(example), s.routes()...))
	if err != nil {
		return err
	}
	defer m.Close()
	if err := pause(ctx, upstreamWarmUp); err != nil {
		return err
	}
	caller := baobabemulator.NewCaller("flood")
	defer caller.Close()
	caseNumber := 0
	for _, floors := range c.Floors {
		policy := example.withoutFloors(s.deployment)
		if floors {
			policy = example
		}
		version, err := m.applyResources(ctx, policy)
		if err != nil {
			return err
		}
		if err := m.WaitInForce(ctx, version); err != nil {
			return err
		}
		for _, rank := range c.Ranks {
			for _, flooders := range c.Flooders {
				caseNumber++
				fc := floodCase{rank, flooders, floors}
				records := c.runCase(ctx, b, m, s, fc, caller, caseNumber)
				limits := concurrencyLimits(ctx, m.NodesOfService(s.service))
				if err := c.addResults(s, fc, example, records, caseNumber, limits, resultTable, shares); err != nil {
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
	violations := baobabemulator.Violations(records, runs)
	for _, text := range violations[:min(5, len(violations))] {
		fmt.Println("violation:", text)
	}
	violationTable.addRow(s.deployment, len(records), len(runs), len(violations))
	return nil
}

// spec returns a mesh of two services: the flooded one, and another service of the deployment.
func (s floodedService) spec(seed uint64) *baobabemulator.MeshSpec {
	const connections = 130
	services := []baobabemulator.MeshService{
		baobabemulator.NewMeshService(s.service, s.upstreams, s.slots, connections, time.Duration(s.serviceMs)*time.Millisecond),
		baobabemulator.NewMeshService("reservations", 3, s.slots, connections, 10*time.Millisecond),
	}
	if s.deployment == "repair" {
		services[1] = baobabemulator.NewMeshService("dispatch", 3, s.slots, connections, 10*time.Millisecond)
	}
	return baobabemulator.NewMeshSpec(3, services, baobabemulator.WithMeshSeed(seed))
}

// routes returns a route to the flooded service for each rank, and one for calls with an idempotency key.
func (s floodedService) routes() resources {
	var list resources
	add := func(name, method, rank, timeout string, idempotent bool) {
		list = append(list, resource{Kind: "route", Name: "flood-" + name, Text: map[string]any{
			"path_prefix": "/flood/" + name, "methods": []string{method}, "service": s.service, "policy": s.deployment,
			"rank": rank, "timeout": timeout, "idempotent": idempotent, "require_idempotency_key": !idempotent,
		}})
	}
	add("urgent", "GET", "urgent", "3s", true)
	add("transaction", "GET", "transaction", "8s", true)
	add("order", "POST", "transaction", "8s", false)
	add("deferrable", "GET", "deferrable", "15s", true)
	return list
}

// schedule returns the calls of a case in the order of their times: normal load from the start, and the flood from
// c.Settle on.
func (c *floodCmd) schedule(seed uint64, s floodedService, fc floodCase) []scheduledCall {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls []scheduledCall
	for _, l := range normalLoads {
		for i, at := range poissonSchedule(random, l.share*s.capacity(), c.Settle+c.Time) {
			calls = append(calls, scheduledCall{
				at: at, rank: l.rank, caller: fmt.Sprintf("%s-%d", l.rank, random.IntN(callersPerRank)),
				keyed: l.rank == "transaction" && i%2 == 0,
			})
		}
	}
	for _, at := range poissonSchedule(random, c.Multiple*s.capacity(), c.Time) {
		calls = append(calls, scheduledCall{
			at: c.Settle + at, rank: fc.rank, caller: fmt.Sprintf("flooder-%d", random.IntN(fc.flooders)), flood: true,
		})
	}
	slices.SortStableFunc(calls, func(a, b scheduledCall) int { return int(a.at - b.at) })
	return calls
}

// A callResult is a call and its result.
type callResult struct {
	scheduledCall
	latency  time.Duration // From the scheduled time to the end of the answer.
	answered bool
	reason   string // Why it was not answered; empty if it was.
}

// runCase sends the calls of a case through all nodes in turn and returns their results in the order of the schedule.
func (c *floodCmd) runCase(
	ctx context.Context, b *bench, m *runningMesh, s floodedService, fc floodCase, caller *baobabemulator.Caller,
	caseNumber int,
) []callResult {
	calls := c.schedule(b.seed+uint64(caseNumber), s, fc)
	schedule := make([]time.Duration, len(calls))
	for i, v := range calls {
		schedule[i] = v.at
	}
	nodes := m.Nodes()
	results := make([]callResult, len(calls))
	openLoop(ctx, schedule, func(i int, scheduled time.Time) {
		r := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/flood/" + calls[i].rank, Caller: calls[i].caller}
		if calls[i].keyed {
			r.Method, r.Path, r.Key = http.MethodPost, "/flood/order", fmt.Sprintf("key-%d-%d", caseNumber, i)
		}
		record := caller.Do(ctx, nodes[i%len(nodes)].EntryURL(), r)
		results[i] = callResult{calls[i], record.End.Sub(scheduled), record.Answered(), failureReason(record)}
	})
	return results
}

// failureReason returns why a call was not answered: the reason of the refusal, or "no_answer". It is empty for an
// answered call.
func failureReason(r baobabemulator.CallerRecord) string {
	switch {
	case r.Answered():
		return ""
	case r.Refusal != "":
		return r.Refusal
	default:
		return "no_answer"
	}
}

// concurrencyLimits returns the current adaptive concurrency limits of nodes, joined by "+".
func concurrencyLimits(ctx context.Context, nodes []*baobabemulator.MeshNode) string {
	var list []string
	for _, m := range readAllMetrics(ctx, nodes) {
		list = append(list, fmt.Sprint(m["baobab_admission_limit"]))
	}
	return strings.Join(list, "+")
}

// topFailureReasons returns the three most frequent failure reasons with their counts, most frequent first.
func (s *callStats) topFailureReasons() string {
	names := slices.SortedFunc(maps.Keys(s.failureReasons), func(a, b string) int {
		return s.failureReasons[b] - s.failureReasons[a]
	})
	var list []string
	for _, name := range names[:min(3, len(names))] {
		list = append(list, fmt.Sprintf("%s %d", name, s.failureReasons[name]))
	}
	return strings.Join(list, ", ")
}

// addResults adds a row for each rank and one for the flood to the table, and the shares of the ranks to the figure.
func (c *floodCmd) addResults(
	s floodedService, fc floodCase, example resources, results []callResult, caseNumber int, limits string,
	resultTable *table, shares *figure,
) error {
	stats := map[string]*callStats{}
	add := func(name string, r callResult, target time.Duration) {
		v, ok := stats[name]
		if !ok {
			v = &callStats{latency: newHistogram(), failureReasons: map[string]int{}}
			stats[name] = v
		}
		v.offered++
		if !r.answered {
			v.failureReasons[r.reason]++
			return
		}
		v.answered++
		v.latency.record(r.latency)
		if r.latency <= target {
			v.inTarget++
		}
	}
	for _, r := range results {
		if r.at < c.Settle+floodRampUp {
			continue
		}
		target, err := example.rankTarget(s.deployment, r.rank)
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
	seconds := (c.Time - floodRampUp).Seconds()
	for _, name := range []string{"urgent", "transaction", "deferrable", "flood"} {
		v := stats[name]
		worst := ""
		if name != "flood" {
			low := v.inTargetPercent()
			for i := range callersPerRank {
				if w, ok := stats[fmt.Sprintf("%s-%d", name, i)]; ok {
					low = min(low, w.inTargetPercent())
				}
			}
			worst = fmt.Sprintf("%.1f", low)
			shares.addPoint(s.deployment+" "+name, float64(caseNumber), v.inTargetPercent())
		}
		resultTable.addRow(s.deployment, fc.rank, fc.flooders, fc.floors, name, float64(v.offered)/seconds,
			float64(v.answered)/seconds, v.inTargetPercent(), v.latency.percentileMs(50), v.latency.percentileMs(99), worst, limits,
			v.topFailureReasons())
	}
	return nil
}
