package baobabscarcity

import "time"

// binTime is the interval in which answers are counted.
const binTime = 500 * time.Millisecond

// A Result holds the answers of one run by the time at which callers sent the request first.
type Result struct {
	scenario Scenario
	offered  []int // Requests by interval.
	onTime   []int // Answers within the objective, by interval of the answer.
	late     []int
	byKind   []KindResult
}

// A KindResult counts the requests of one kind from the shrinking of a service to its return.
type KindResult struct {
	Name    string
	Offered int
	OnTime  int
	Late    int
}

// ServedShare returns the share of the requests that were answered, in time or late.
func (k KindResult) ServedShare() float64 {
	return float64(k.OnTime+k.Late) / float64(max(k.Offered, 1))
}

func newResult(s Scenario) *Result {
	bins := int(s.Duration/binTime) + 1
	r := &Result{scenario: s, offered: make([]int, bins), onTime: make([]int, bins), late: make([]int, bins)}
	for _, k := range s.Kinds {
		r.byKind = append(r.byKind, KindResult{Name: k.Name})
	}
	return r
}

// disturbed reports whether a time lies between ShrinkAt and ReturnAt.
func (s Scenario) disturbed(at time.Duration) bool { return at >= s.ShrinkAt && at < s.ReturnAt }

func (r *Result) recordRequest(at time.Duration, kind int) {
	r.offered[at/binTime]++
	if r.scenario.disturbed(at) {
		r.byKind[kind].Offered++
	}
}

// recordAnswer counts an answer at a time to a request that was sent first at another.
func (r *Result) recordAnswer(at, sent time.Duration, kind int, onTime bool) {
	counts, byKind := r.late, &r.byKind[kind].Late
	if onTime {
		counts, byKind = r.onTime, &r.byKind[kind].OnTime
	}
	counts[at/binTime]++
	if r.scenario.disturbed(sent) {
		*byKind++
	}
}

// Before returns the share of requests answered in time in the five seconds before the service shrinks.
func (r *Result) Before() float64 {
	return r.share(r.scenario.ShrinkAt-5*time.Second, r.scenario.ShrinkAt)
}

// During returns the share while the service is shrunk.
func (r *Result) During() float64 { return r.share(r.scenario.ShrinkAt, r.scenario.ReturnAt) }

// share returns the answers in time per request in an interval of whole bins.
func (r *Result) share(from, to time.Duration) float64 {
	offered, onTime := 0, 0
	for i := from / binTime; i < to/binTime; i++ {
		offered += r.offered[i]
		onTime += r.onTime[i]
	}
	return float64(onTime) / float64(max(offered, 1))
}

// Recovery returns the time from the return of the service until the share of one second is at least 0.9 of that before,
// and whether that happened before the end.
func (r *Result) Recovery() (time.Duration, bool) {
	for at := r.scenario.ReturnAt; at+2*binTime <= r.scenario.Duration; at += binTime {
		if r.share(at, at+2*binTime) >= 0.9*r.Before() {
			return at - r.scenario.ReturnAt, true
		}
	}
	return 0, false
}

// Kinds returns the counts of each kind while the service is shrunk.
func (r *Result) Kinds() []KindResult { return r.byKind }

// ServedShare returns the share of all requests that were answered, in time or late, while the scenario is disturbed.
func (r *Result) ServedShare() float64 {
	var all KindResult
	for _, k := range r.byKind {
		all.Offered += k.Offered
		all.OnTime += k.OnTime
		all.Late += k.Late
	}
	return all.ServedShare()
}
