package baobabadmission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A requestStream is a Poisson stream of requests of one rank, spread evenly over its callers.
type requestStream struct {
	rank     string
	rate     float64 // Requests per second.
	callers  int
	target   time.Duration
	deadline time.Duration                  // After the arrival.
	factor   func(at time.Duration) float64 // Multiplies the rate; nil means 1.
}

// rateAt returns the requests per second at a time.
func (s requestStream) rateAt(at time.Duration) float64 {
	if s.factor == nil {
		return s.rate
	}
	return s.rate * s.factor(at)
}

// A simulation runs a Queue and a Limiter in front of an upstream with a first-in first-out queue of its own.
type simulation struct {
	policy          Policy
	streams         []requestStream
	slots           func(at time.Duration) int     // Calls that the upstream actually runs concurrently.
	meanService     time.Duration                  // Service times are exponentially distributed.
	serviceFactor   func(at time.Duration) float64 // Multiplies the service time; nil means 1.
	keptPercent     int                            // Part of its usual share that each rank keeps.
	announcedOffset int                            // Announced minus actual slots at the start.
	staticLimit     bool                           // The limit stays at the announced slots.
	duration        time.Duration
	measureFrom     time.Duration // Results before this time are not counted.
	seed            uint64
}

// A rankResult holds the results of the requests of one rank.
type rankResult struct {
	offered  int
	answered int
	inTarget int
	latency  []time.Duration
	callers  map[string]int // Answers by caller.
}

func (r *rankResult) inTargetShare() float64 { return float64(r.inTarget) / float64(max(1, r.offered)) }

func (r *rankResult) quantile(q float64) time.Duration {
	if len(r.latency) == 0 {
		return 0
	}
	slices.Sort(r.latency)
	return r.latency[int(q*float64(len(r.latency)-1))]
}

type simEvent struct {
	at      time.Duration
	stream  int // Index of the stream of an arrival, or -1 for a completion.
	entry   *Entry
	granted time.Time
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run returns the results by rank, and the limit at the end of the simulation.
func (s simulation) run(t testing.TB) (map[string]*rankResult, int) {
	t.Helper()
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	queue := NewQueue(s.policy)
	queue.KeepUsualShare(s.keptPercent)
	announced := s.slots(0) + s.announcedOffset
	limiter := NewLimiter(0, 1)
	limiter.Announce(simEpoch, announced, 10*announced, time.Time{})
	results := map[string]*rankResult{}
	targets := map[string]time.Duration{}
	events := &simEvents{}
	next := func(at time.Duration, i int) {
		gap := time.Duration(random.ExpFloat64() / s.streams[i].rateAt(at) * float64(time.Second))
		heap.Push(events, simEvent{at: at + gap, stream: i})
	}
	for i, stream := range s.streams {
		results[stream.rank] = &rankResult{callers: map[string]int{}}
		targets[stream.rank] = stream.target
		next(0, i)
	}
	inFlight, running := 0, 0
	var backlog []simEvent // Granted calls in the upstream's own queue.
	limit := func(now time.Time) int {
		if s.staticLimit {
			return announced
		}
		return limiter.Limit(now)
	}
	for events.Len() > 0 {
		ev := heap.Pop(events).(simEvent)
		if ev.at > s.duration {
			break
		}
		now := simEpoch.Add(ev.at)
		if ev.stream >= 0 {
			stream := s.streams[ev.stream]
			next(ev.at, ev.stream)
			caller := string(rune('a' + random.IntN(stream.callers)))
			r := NewRequest(stream.rank, caller, now.Add(stream.deadline), stream.rank)
			if ev.at >= s.measureFrom {
				results[stream.rank].offered++
			}
			stats := NewUpstreamStats(limit(now), inFlight, limiter.MeanLatency(), limiter.MinServiceTime(r.kind))
			_, _, _ = queue.Offer(now, r, stats)
		} else {
			running--
			limiter.Record(now, ev.entry.request.kind, now.Sub(ev.granted), OutcomeSucceeded, inFlight)
			inFlight--
			addAnswer(results[ev.entry.request.rank], ev.entry, now, simEpoch.Add(s.measureFrom), targets)
		}
		for inFlight < limit(now) {
			e, _ := queue.Next(now)
			if e == nil {
				break
			}
			inFlight++
			backlog = append(backlog, simEvent{stream: -1, entry: e, granted: now})
		}
		for len(backlog) > 0 && running < s.slots(ev.at) {
			c := backlog[0]
			backlog = backlog[1:]
			running++
			factor := 1.0
			if s.serviceFactor != nil {
				factor = s.serviceFactor(ev.at)
			}
			c.at = ev.at + time.Duration(random.ExpFloat64()*float64(s.meanService)*factor)
			heap.Push(events, c)
		}
	}
	return results, limit(simEpoch.Add(s.duration))
}

func addAnswer(r *rankResult, e *Entry, now, from time.Time, targets map[string]time.Duration) {
	if e.enqueuedAt.Before(from) || now.After(e.request.deadline) {
		return
	}
	took := now.Sub(e.enqueuedAt)
	r.answered++
	r.callers[e.request.caller]++
	r.latency = append(r.latency, took)
	if took <= targets[e.request.rank] {
		r.inTarget++
	}
}
