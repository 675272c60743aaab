package baobabrollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

var simulationSeeds = flag.Int("simulation-seeds", 3, "number of seeds per case of the roll-out simulation")

// A fault is how a simulated version is bad.
type fault int

const (
	faultNone    fault = iota
	faultFails         // 45% of the answers fail from the start.
	faultLate          // 45% fail from 2 s after the start of the upstream on.
	faultLoad          // 45% fail while the upstream runs at least 3 requests.
	faultOneKind       // 45% of one kind in four fail.
	faultSlow          // Answers take 8 times as long.
)

// A simulation runs one roll-out of a service without a network: half of the nodes run the old version, half the new one.
type simulation struct {
	random   *rand.Rand
	fault    fault
	judge    func(*simulationJudge) bool // Reports whether the target is condemned.
	cause    time.Duration               // When a common cause fails half of one kind for 4 s; 0: never.
	upstream []simulatedUpstream
	nodes    []simulatedNode

	target, total, late int
	badAt               []time.Duration // When each bad answer arrived.
	stoppedAt           time.Duration   // When the last node learned that the target gets nothing; 0: never.
	endedAt             time.Duration
	state               State
}

type simulatedUpstream struct {
	start time.Duration
	speed float64
	slots []time.Duration // When each slot becomes free.
}

// A simulatedNode knows a stage and counts the answers of its upstream.
type simulatedNode struct {
	pending []simulatedAnswer
	counts  map[evidenceOf]*Counts
	stage   Record
	known   time.Duration // When it learned of the stage.
	phase   time.Duration // Of its reports.
}

type evidenceOf struct{ version, kind string }

type simulatedAnswer struct {
	at      time.Duration
	key     evidenceOf
	ok      bool
	latency time.Duration
	warm    bool
}

// A simulationJudge is what a rule for the verdict may use.
type simulationJudge struct {
	verdict          Verdict
	target, baseline Counts // Of the last second.
}

const (
	simulationStep     = 50 * time.Millisecond
	simulationDuration = 15 * time.Second
	simulationRate     = 20 // Requests per second and old upstream.
)

func newSimulation(seed uint64, nodes int, f fault, judge func(*simulationJudge) bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), fault: f, judge: judge, state: StateRunning}
	if s.random.IntN(3) == 0 {
		s.cause = time.Second + time.Duration(s.random.Int64N(int64(12*time.Second)))
	}
	for i := range nodes {
		u := simulatedUpstream{start: -time.Hour, speed: []float64{0.7, 0.7, 1.6}[s.random.IntN(3)], slots: make([]time.Duration, 6)}
		if i >= nodes/2 {
			u.start = time.Second + time.Duration(s.random.Int64N(int64(2*time.Second)))
		}
		s.upstream = append(s.upstream, u)
		s.nodes = append(s.nodes, simulatedNode{
			counts: map[evidenceOf]*Counts{}, phase: time.Duration(s.random.Int64N(int64(250 * time.Millisecond))),
		})
	}
	return s
}

// canaries returns the indexes of the upstreams of the target that get requests.
func (s *simulation) canaries(now time.Duration, share float64) []int {
	var list []Canary
	for i := len(s.upstream) / 2; i < len(s.upstream); i++ {
		if now >= s.upstream[i].start {
			list = append(list, Canary{ID: strconv.Itoa(i), FailureDomain: strconv.Itoa(i % 3)})
		}
	}
	chosen := Canaries(list, share)
	var indexes []int
	for i := len(s.upstream) / 2; i < len(s.upstream); i++ {
		if chosen[strconv.Itoa(i)] {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// send sends one request through a random node.
func (s *simulation) send(now time.Duration, canaries []int) {
	s.total++
	n := &s.nodes[s.random.IntN(len(s.nodes))]
	share := 0.0
	if now >= n.known {
		share = n.stage.share
	}
	index, version := s.random.IntN(len(s.upstream)/2), "v1"
	if s.random.Float64() < share && len(canaries) > 0 {
		index, version = canaries[s.random.IntN(len(canaries))], "v2"
	}
	u := &s.upstream[index]
	kind := s.random.IntN(4)
	busy, slot := 0, 0
	for i, free := range u.slots {
		if free > now {
			busy++
		}
		if free < u.slots[slot] {
			slot = i
		}
	}
	begin := max(now, u.slots[slot])
	if begin-now > 500*time.Millisecond {
		return // Refused before it ran.
	}
	latency := time.Duration(float64([]int{160, 210, 160, 60}[kind]) * math.Exp(0.4*s.random.NormFloat64()) / u.speed * float64(time.Millisecond))
	age := now - u.start
	if age < 3*time.Second {
		latency *= 2
	}
	failure := 0.01
	if s.cause > 0 && kind == 1 && now >= s.cause && now < s.cause+4*time.Second {
		failure = 0.5
	}
	if version == "v2" {
		s.target++
		if s.fault != faultNone && s.stoppedAt == 0 && len(s.badAt) >= 50 && now > s.badAt[49]+5*time.Second {
			s.late++
		}
		switch {
		case s.fault == faultFails, s.fault == faultLate && age >= 2*time.Second, s.fault == faultLoad && busy >= 3, s.fault == faultOneKind && kind == 2:
			failure += 0.45
		case s.fault == faultSlow:
			latency *= 8
		}
	}
	ok := s.random.Float64() >= failure
	u.slots[slot] = begin + latency
	answered := begin + latency
	if version == "v2" && (!ok || s.fault == faultSlow) {
		s.badAt = append(s.badAt, answered)
	}
	node := &s.nodes[index]
	node.pending = append(node.pending, simulatedAnswer{
		at: answered, key: evidenceOf{version, strconv.Itoa(kind)}, ok: ok, latency: latency, warm: age >= time.Second,
	})
}

// spread makes a stage known to all nodes, one after the other.
func (s *simulation) spread(now time.Duration, r Record) time.Duration {
	last := now
	for i := range s.nodes {
		n := &s.nodes[i]
		n.stage, n.known = r, now+20*time.Millisecond+time.Duration(s.random.Int64N(int64(130*time.Millisecond)))
		last = max(last, n.known)
	}
	return last
}

// run runs the roll-out to its end.
func (s *simulation) run() {
	epoch := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	plan, judge := NewPlan(simulationDuration), NewJudge(epoch, "v2", "v1")
	record := NewRecord(NewOrder("s", "v2", simulationDuration, 1), "v1", "n", epoch)
	stagedAt, acksAt, stageAnswers := time.Duration(0), s.spread(0, record), uint64(0)
	reported := map[source]Counts{}
	var recent []simulationJudge
	slots := func(now time.Duration, from, to int) (n int) {
		for _, u := range s.upstream[from:to] {
			if now >= u.start {
				n += len(u.slots)
			}
		}
		return n
	}
	half := len(s.nodes) / 2
	for now := time.Duration(0); now < simulationDuration+5*time.Second; now += simulationStep {
		if now < simulationDuration || s.state == StateRunning {
			canaries := s.canaries(now, record.share)
			for range s.arrivals(float64(simulationRate*half) * simulationStep.Seconds()) {
				s.send(now, canaries)
			}
		}
		if s.state != StateRunning {
			continue
		}
		second := simulationJudge{}
		for i := range s.nodes {
			n := &s.nodes[i]
			n.pending = slices.DeleteFunc(n.pending, func(a simulatedAnswer) bool {
				if a.at > now {
					return false
				}
				if n.counts[a.key] == nil {
					n.counts[a.key] = &Counts{}
				}
				n.counts[a.key].Record(a.ok, a.latency, a.warm)
				return true
			})
			if (now+n.phase)%(250*time.Millisecond) >= simulationStep || i < half && i >= 16 {
				continue
			}
			for key, c := range n.counts {
				id := source{strconv.Itoa(i), 1, key.version, key.kind}
				delta := c.minus(reported[id])
				reported[id] = *c
				if key.version == "v2" {
					second.target = second.target.plus(delta)
				} else {
					second.baseline = second.baseline.plus(delta)
				}
				judge.Observe(id.from, 1, key.version, key.kind, *c)
			}
		}
		recent = append(recent[max(0, len(recent)-19):], second)
		if now%(250*time.Millisecond) != 0 {
			continue
		}
		in := Inputs{
			Elapsed: now, SinceStage: now - stagedAt, SinceAcks: -1, Verdict: judge.Decide(at(now)), Suspicion: judge.Suspicion(),
			TargetSlots: slots(now, half, len(s.nodes)), BaselineSlots: slots(now, 0, half),
		}
		in.Missing = now - stagedAt
		if now >= acksAt {
			in.SinceAcks = now - acksAt
		}
		in.StageAnswers = in.Verdict.answers - stageAnswers
		if s.judge != nil {
			sum := simulationJudge{verdict: in.Verdict}
			for _, v := range recent {
				sum.target, sum.baseline = sum.target.plus(v.target), sum.baseline.plus(v.baseline)
			}
			in.Verdict.condemned, in.Suspicion = s.judge(&sum), 0
		}
		share, state, reason, ok := plan.Next(record, in)
		if !ok {
			continue
		}
		record = record.Next(share, state, reason, "n", now, at(now))
		stagedAt, stageAnswers = now, in.Verdict.answers
		acksAt = s.spread(now+30*time.Millisecond, record)
		if state == StateRollingBack {
			s.stoppedAt = acksAt
		}
		if !record.Running() {
			s.state, s.endedAt = state, now
		}
	}
}

// arrivals draws a number of requests with the given mean.
func (s *simulation) arrivals(mean float64) int {
	n := int(mean)
	if s.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// fixedThreshold condemns a target of which 10% of the answers of a second failed, or whose median is 3 times the other's.
func fixedThreshold(j *simulationJudge) bool {
	if n := j.target.answers(); n >= 10 && float64(j.target.failed) > 0.1*float64(n) {
		return true
	}
	return j.target.timed() >= 10 && j.baseline.timed() >= 10 && j.target.medianBucket() >= j.baseline.medianBucket()+3
}

// TestSimulation guards against a rule for verdicts or a schedule that gives a bad version too many requests, notices it too
// late, or condemns good versions. The smallest service is not checked: with 5 requests per second for the target, a fault of
// some of its answers shows too late.
func TestSimulation(t *testing.T) { runSimulation(t, []int{60, 300}) }

// TestSimulationSmallMesh is TestSimulation with 10 nodes, where a bad version gets few requests while its share is small.
func TestSimulationSmallMesh(t *testing.T) { runSimulation(t, []int{10}) }

func runSimulation(t *testing.T, sizes []int) {
	t.Helper()
	faults := []string{"good", "fails", "late", "load", "kind", "slow"}
	for _, rule := range []string{"sequential", "threshold"} {
		for _, nodes := range sizes {
			for f, name := range faults {
				t.Run(fmt.Sprintf("%s/%d/%s", rule, nodes, name), func(t *testing.T) {
					r := simulateSeeds(nodes, fault(f), rule)
					t.Log(r.summary())
					if rule != "sequential" {
						return
					}
					if f == int(faultNone) && r.condemned*500 > max(r.runs, 500) {
						t.Errorf("%d of %d good versions condemned", r.condemned, r.runs)
					}
					if f != int(faultNone) && (r.condemned != r.runs || r.exposure[r.runs-1] > 1 || r.late > 0) {
						t.Errorf("a bad version got too many requests: %s", r.summary())
					}
				})
			}
		}
	}
}

// simulationResult is the result of one case over all seeds.
type simulationResult struct {
	runs, condemned, completed, late int
	exposure, ended                  []float64 // Sorted; as a share of the bound, and in seconds.
}

func simulateSeeds(nodes int, f fault, rule string) simulationResult {
	r := simulationResult{runs: *simulationSeeds}
	for seed := range r.runs {
		s := newSimulation(uint64(seed), nodes, f, map[string]func(*simulationJudge) bool{"threshold": fixedThreshold}[rule])
		s.run()
		r.exposure = append(r.exposure, float64(s.target)/(0.1*float64(s.total)+50))
		r.ended = append(r.ended, s.endedAt.Seconds())
		r.late += s.late
		switch s.state {
		case StateRolledBack:
			r.condemned++
		case StateCompleted:
			r.completed++
		}
	}
	slices.Sort(r.exposure)
	slices.Sort(r.ended)
	return r
}

func (r simulationResult) summary() string {
	p := func(v []float64, q float64) float64 { return v[min(len(v)-1, int(q*float64(len(v))))] }
	return fmt.Sprintf("rolled back %d, completed %d of %d; end median %.1f s, p99 %.1f s; exposure median %.2f, p99 %.2f of the bound; late %d",
		r.condemned, r.completed, r.runs, p(r.ended, 0.5), p(r.ended, 0.99), p(r.exposure, 0.5), p(r.exposure, 0.99), r.late)
}
