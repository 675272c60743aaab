package baobabrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// judgeInterval is the time over which answers are counted together.
	judgeInterval = 250 * time.Millisecond
	// baselineIntervals is the number of intervals of the baseline with which one of the target is compared: some before it
	// and one after it, because nodes report at different times.
	baselineIntervals = 6
	// minBaselineAnswers is how many answers of the baseline a comparison needs.
	minBaselineAnswers = 10
	// minNearAnswers and maxNearAnswers bound how many of them must be from the interval itself and its neighbours: half as many
	// as the answers of the target.
	minNearAnswers = 4
	maxNearAnswers = 16
	// condemnAt is the logarithm of the likelihood ratio at which the target is condemned. By Wald's bound a single test
	// exceeds it for a good version with a probability of at most exp(-10), about 5 in 100,000, for each time that the
	// ratio starts from 1.
	condemnAt = 10.0
	// minFailureRate and minSlowRate are the lowest rates of a good version that the tests assume. A few chance failures are
	// no evidence even if the baseline had none.
	minFailureRate = 0.02
	minSlowRate    = 0.05
	// failureStep is the share of the answers that a bad version fails in addition, at least.
	failureStep = 0.15
	// slowShare is the share of slow answers of a bad version, at least.
	slowShare = 0.6
	// slowBuckets is how many latency buckets beyond the median of the baseline an answer is slow: 4 times the median. A good
	// version is assumed to exceed it as often as the baseline exceeds twice its median.
	slowBuckets = 4
)

// A Verdict is what the evidence says about the target.
type Verdict struct {
	condemned bool
	reason    string
	answers   uint64 // Of the target, in total.
}

// Condemned reports whether the target is bad.
func (v Verdict) Condemned() bool { return v.condemned }

// Reason returns the evidence against the target, or an empty string.
func (v Verdict) Reason() string { return v.reason }

// Answers returns the number of answers of the target that were judged.
func (v Verdict) Answers() uint64 { return v.answers }

// A Judge compares the answers of the target with those of the baseline to the same kind of request in the same time. For each
// kind, and for all together, it runs two sequential probability ratio tests (Wald 1945) of "good" against "bad": of failed and
// of slow answers. The ratio does not fall below 1 (Page 1954), so that a fault that begins late shows as fast as one from the
// start. It is not safe for concurrent use.
type Judge struct {
	target, baseline string
	totals           map[source]Counts // Last report.
	intervals        []interval        // Latest last; the last one is being counted.
	tests            map[string]*kindTest
	answers          uint64
	verdict          Verdict
}

// A source identifies running totals of one process.
type source struct {
	from    string
	start   uint64
	version string
	kind    string
}

// An interval holds the answers of one interval by kind; the kind "" holds all.
type interval struct {
	since    time.Time
	target   map[string]Counts
	baseline map[string]Counts
	failing  map[string]map[string]bool // Nodes with failed answers of the target, by kind.
	slow     map[string]map[string]Counts
	nodes    map[string]bool // Nodes with answers of the target.
}

// A kindTest holds the state of the tests of one kind.
type kindTest struct {
	failed, slow ratio
}

// A ratio is the state of a sequential test.
type ratio struct {
	logarithm float64
	nodes     map[string]bool // Nodes with evidence against the target since the ratio was last 1.
}

// NewJudge returns a judge of a roll-out.
func NewJudge(now time.Time, target, baseline string) *Judge {
	return &Judge{
		target: target, baseline: baseline, totals: map[source]Counts{}, tests: map[string]*kindTest{},
		intervals: []interval{newInterval(now)},
	}
}

func newInterval(now time.Time) interval {
	return interval{
		since: now, target: map[string]Counts{}, baseline: map[string]Counts{}, failing: map[string]map[string]bool{},
		slow: map[string]map[string]Counts{}, nodes: map[string]bool{},
	}
}

// Observe adds the running totals of one node's process for a version and a kind.
func (j *Judge) Observe(from string, start uint64, version, kind string, totals Counts) {
	key := source{from, start, version, kind}
	delta := totals.minus(j.totals[key])
	j.totals[key] = totals
	if delta.answers() == 0 {
		return
	}
	i := &j.intervals[len(j.intervals)-1]
	switch version {
	case j.baseline:
		i.baseline[kind] = i.baseline[kind].plus(delta)
		i.baseline[""] = i.baseline[""].plus(delta)
	case j.target:
		i.nodes[from] = true
		j.answers += delta.answers()
		for _, k := range []string{kind, ""} {
			i.target[k] = i.target[k].plus(delta)
			if i.slow[k] == nil {
				i.slow[k], i.failing[k] = map[string]Counts{}, map[string]bool{}
			}
			i.slow[k][from] = i.slow[k][from].plus(delta)
			if delta.failed > 0 {
				i.failing[k][from] = true
			}
		}
	}
}

// Decide ends the interval that is being counted if it is over, and returns the verdict. A verdict against the target is final.
func (j *Judge) Decide(now time.Time) Verdict {
	last := j.intervals[len(j.intervals)-1]
	if !j.verdict.condemned && now.Sub(last.since) >= judgeInterval {
		if len(j.intervals) >= 2 {
			j.judge(len(j.intervals) - 2)
		}
		j.intervals = append(j.intervals[max(0, len(j.intervals)-baselineIntervals):], newInterval(now))
	}
	j.verdict.answers = j.answers
	return j.verdict
}

// judge tests the answers of the target in the interval at an index.
func (j *Judge) judge(index int) {
	judged := j.intervals[index]
	for _, kind := range slices.Sorted(maps.Keys(judged.target)) {
		target := judged.target[kind]
		before := Counts{}
		failureRate, steps := 0.0, 0
		for n := range j.intervals {
			before = before.plus(j.intervals[n].baseline[kind])
			if n == 0 {
				continue
			}
			// The highest rate of two successive intervals, so that the start and the end of a common cause are not taken for a
			// difference between the versions.
			pair := j.intervals[n-1].baseline[kind].plus(j.intervals[n].baseline[kind])
			if pair.answers() >= minBaselineAnswers {
				failureRate = max(failureRate, float64(pair.failed)/float64(pair.answers()))
				steps++
			}
		}
		near := Counts{}
		for n := max(0, index-1); n <= min(index+1, len(j.intervals)-1); n++ {
			near = near.plus(j.intervals[n].baseline[kind])
		}
		// An older comparison would take the start of a common cause for a fault, once the target gets all requests.
		if near.answers() < min(max(target.answers()/2, minNearAnswers), maxNearAnswers) {
			continue
		}
		if steps == 0 {
			failureRate = float64(before.failed) / float64(before.answers())
		}
		t := j.tests[kind]
		if t == nil {
			t = &kindTest{}
			j.tests[kind] = t
		}
		good := margin(max(failureRate, minFailureRate), before.answers())
		bad := good + failureStep*(1-good)
		if t.failed.update(target.failed, target.good, good, bad, judged.failing[kind]) && t.failed.confirmedBy(judged.nodes) {
			j.condemn("failed", kind, target.failed, target.answers(), good, t.failed)
			return
		}
		j.judgeSlow(t, kind, judged, before)
		if j.verdict.condemned {
			return
		}
	}
}

// judgeSlow tests how many answers of the target are slow.
func (j *Judge) judgeSlow(t *kindTest, kind string, judged interval, before Counts) {
	target := judged.target[kind]
	if before.timed() < minBaselineAnswers || target.timed() == 0 {
		return
	}
	limit := before.medianBucket() + slowBuckets
	usual := float64(before.above(limit-slowBuckets/2)) / float64(before.timed())
	good := min(margin(max(usual, minSlowRate), before.timed()), 0.5)
	bad := max(slowShare, good+failureStep*(1-good))
	slow := target.above(limit)
	nodes := map[string]bool{}
	for from, c := range judged.slow[kind] {
		if c.above(limit) > 0 {
			nodes[from] = true
		}
	}
	if t.slow.update(slow, target.timed()-slow, good, bad, nodes) && t.slow.confirmedBy(judged.nodes) {
		j.condemn("slow", kind, slow, target.timed(), good, t.slow)
	}
}

// margin returns a rate that was estimated from n answers, plus its standard error.
func margin(rate float64, n uint64) float64 {
	rate = min(rate, 0.9)
	return min(rate+math.Sqrt(rate*(1-rate)/float64(n)), 0.95)
}

// update adds answers to the ratio and reports whether it condemns the target. The rates are the shares of bad answers that a
// good and a bad version give.
func (r *ratio) update(bad, good uint64, goodRate, badRate float64, nodes map[string]bool) bool {
	r.logarithm += float64(bad)*math.Log(badRate/goodRate) + float64(good)*math.Log((1-badRate)/(1-goodRate))
	if r.logarithm <= 0 {
		*r = ratio{}
		return false
	}
	if r.nodes == nil {
		r.nodes = map[string]bool{}
	}
	maps.Copy(r.nodes, nodes)
	return r.logarithm >= condemnAt
}

// confirmedBy reports whether the evidence comes from more than one node, if more than one has answers of the target. The fault
// of one VM says nothing about the version.
func (r *ratio) confirmedBy(reporting map[string]bool) bool {
	return len(r.nodes) > 1 || len(reporting) <= 1
}

func (j *Judge) condemn(test, kind string, bad, answers uint64, usual float64, r ratio) {
	if kind == "" {
		kind = "all"
	}
	j.verdict.condemned = true
	j.verdict.reason = fmt.Sprintf("%s answers of kind %s: %d of %d in the last interval, %.3f expected; log ratio %.1f at %d upstreams",
		test, kind, bad, answers, usual, r.logarithm, len(r.nodes))
}

// Answers returns the number of answers of the target.
func (j *Judge) Answers() uint64 { return j.answers }

// Suspicion returns the highest logarithm of a likelihood ratio, as a share of the one that condemns.
func (j *Judge) Suspicion() float64 {
	highest := 0.0
	for _, t := range j.tests {
		highest = max(highest, t.failed.logarithm, t.slow.logarithm)
	}
	return highest / condemnAt
}
