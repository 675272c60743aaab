package baobabadmission

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxKinds bounds memory; further kinds share one baseline.
	maxKinds = 64
	// otherKind is the kind of the shared baseline.
	otherKind = ""

	// firstWindows is the number of windows whose plain mean starts a baseline; one alone is off by 10%.
	firstWindows = 5

	// farBelow is the relative mean below which a window is not noise but a new low.
	farBelow = 0.8
	// fallFar and fall are the weights of a window far below and just below the low. With a fall of 0.2 the low
	// followed the noise of the means so far down that the limit stopped growing.
	fallFar = 0.5
	fall    = 0.05
	// riseUnused is the weight of a higher mean when the limit was not in use: the latency is then not caused by
	// calls queued at the upstream. riseInUse only balances fall; a higher value lets the limit creep up.
	riseUnused = 0.05
	riseInUse  = 0.01
)

// baselineRise returns the weight of a higher mean.
func baselineRise(ratio float64, inUse bool) float64 {
	switch {
	case ratio >= growRatio:
		return 0
	case inUse:
		return riseInUse
	default:
		return riseUnused
	}
}

// A baseline holds the long-term low latency of each kind of call, and the latencies of the present window.
type baseline struct {
	low    map[string]float64 // Seconds.
	closed map[string]int     // Windows that made up low, counted to firstWindows.
	window map[string]*kindWindow
}

// A kindWindow sums the latencies of one kind within the present window.
type kindWindow struct {
	count int
	sum   float64 // Seconds.
}

func newBaseline() *baseline {
	return &baseline{low: map[string]float64{}, closed: map[string]int{}, window: map[string]*kindWindow{}}
}

// add records one latency in the present window.
func (b *baseline) add(kind string, latency time.Duration) {
	kind = b.bounded(kind)
	w, ok := b.window[kind]
	if !ok {
		w = &kindWindow{}
		b.window[kind] = w
	}
	w.count++
	w.sum += latency.Seconds()
}

// bounded maps kinds beyond the bound to otherKind.
func (b *baseline) bounded(kind string) string {
	if _, ok := b.low[kind]; ok {
		return kind
	}
	if _, ok := b.window[kind]; ok {
		return kind
	}
	if len(b.low)+len(b.window) >= maxKinds {
		return otherKind
	}
	return kind
}

// ratio returns the mean latency of the window relative to the long-term low; 1 when no kind has a baseline yet.
func (b *baseline) ratio() float64 {
	var measured, expected float64
	// In a fixed order, because sums of floating-point numbers depend on it and decisions must be repeatable.
	for _, kind := range slices.Sorted(maps.Keys(b.window)) {
		w := b.window[kind]
		if low, ok := b.low[kind]; ok {
			measured += w.sum
			expected += low * float64(w.count)
		}
	}
	if expected <= 0 {
		return 1
	}
	return measured / expected
}

// close merges the window into the baselines, a higher mean with the weight rise, and starts a new window.
func (b *baseline) close(rise float64) {
	for kind, w := range b.window {
		mean := w.sum / float64(w.count)
		low := b.low[kind]
		switch n := b.closed[kind]; {
		case n < firstWindows:
			b.closed[kind]++
			b.low[kind] += (mean - low) / float64(n+1)
		case mean < low*farBelow:
			b.low[kind] += fallFar * (mean - low)
		case mean < low:
			b.low[kind] += fall * (mean - low)
		default:
			b.low[kind] += rise * (mean - low)
		}
	}
	b.discard()
}

// rebase sets the baselines to the means of the window and starts a new window.
func (b *baseline) rebase() {
	for kind, w := range b.window {
		b.low[kind] = w.sum / float64(w.count)
		b.closed[kind] = 1
	}
	b.discard()
}

// discard starts a new window.
func (b *baseline) discard() { clear(b.window) }

// lowest returns the long-term low latency of the kind, or zero.
func (b *baseline) lowest(kind string) time.Duration {
	low, ok := b.low[kind]
	if !ok {
		low = b.low[otherKind]
	}
	return time.Duration(low * float64(time.Second))
}
