package baobabadmission

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxKinds bounds memory; kinds beyond it share one baseline.
	maxKinds = 64
	// otherKind is the kind of the shared baseline.
	otherKind = ""

	// initialWindows is the number of windows whose plain mean initializes a baseline; the mean of a single window is
	// off by 10%.
	initialWindows = 5

	// newLowRatio is the ratio of a window's mean to the low below which the difference is a new low rather than noise.
	newLowRatio = 0.8
	// newLowWeight and lowerMeanWeight are the weights of a window below newLowRatio and of one just below the low.
	// With a lowerMeanWeight of 0.2, noise in the means pulled the low down until the limit stopped growing.
	newLowWeight    = 0.5
	lowerMeanWeight = 0.05
	// higherMeanWeightIdle is the weight of a higher mean when the limit was not in use: the latency is then not caused
	// by calls queued at the upstream. higherMeanWeightInUse only balances lowerMeanWeight; a higher value lets the
	// limit creep up.
	higherMeanWeightIdle  = 0.05
	higherMeanWeightInUse = 0.01
)

// higherMeanWeight returns the weight of a window whose mean is above the low. It is 0 when the ratio is too high for
// the limit to grow.
func higherMeanWeight(ratio float64, inUse bool) float64 {
	switch {
	case ratio >= growthRatio:
		return 0
	case inUse:
		return higherMeanWeightInUse
	default:
		return higherMeanWeightIdle
	}
}

// A baseline tracks the long-term low latency of each kind of call, and the latencies of the current window.
type baseline struct {
	lowSeconds  map[string]float64
	windowCount map[string]int // Windows merged into the low, counted up to initialWindows.
	window      map[string]*kindWindow
}

// A kindWindow sums the latencies of one kind within the current window.
type kindWindow struct {
	count      int
	latencySum float64 // Seconds.
}

func newBaseline() *baseline {
	return &baseline{lowSeconds: map[string]float64{}, windowCount: map[string]int{}, window: map[string]*kindWindow{}}
}

// add records one latency in the current window.
func (b *baseline) add(kind string, latency time.Duration) {
	kind = b.boundedKind(kind)
	w, ok := b.window[kind]
	if !ok {
		w = &kindWindow{}
		b.window[kind] = w
	}
	w.count++
	w.latencySum += latency.Seconds()
}

// boundedKind maps kinds beyond maxKinds to otherKind.
func (b *baseline) boundedKind(kind string) string {
	if _, ok := b.lowSeconds[kind]; ok {
		return kind
	}
	if _, ok := b.window[kind]; ok {
		return kind
	}
	if len(b.lowSeconds)+len(b.window) >= maxKinds {
		return otherKind
	}
	return kind
}

// ratio returns the mean latency of the window relative to the long-term low, or 1 when no kind has a baseline yet.
func (b *baseline) ratio() float64 {
	var measured, expected float64
	// The order is fixed because floating-point sums depend on it and decisions must be repeatable.
	for _, kind := range slices.Sorted(maps.Keys(b.window)) {
		w := b.window[kind]
		if low, ok := b.lowSeconds[kind]; ok {
			measured += w.latencySum
			expected += low * float64(w.count)
		}
	}
	if expected <= 0 {
		return 1
	}
	return measured / expected
}

// close merges the window into the baselines, a higher mean with the given weight, and starts a new window.
func (b *baseline) close(higherWeight float64) {
	for kind, w := range b.window {
		mean := w.latencySum / float64(w.count)
		low := b.lowSeconds[kind]
		switch n := b.windowCount[kind]; {
		case n < initialWindows:
			b.windowCount[kind]++
			b.lowSeconds[kind] += (mean - low) / float64(n+1)
		case mean < low*newLowRatio:
			b.lowSeconds[kind] += newLowWeight * (mean - low)
		case mean < low:
			b.lowSeconds[kind] += lowerMeanWeight * (mean - low)
		default:
			b.lowSeconds[kind] += higherWeight * (mean - low)
		}
	}
	b.discard()
}

// rebase replaces the baselines by the means of the window and starts a new window.
func (b *baseline) rebase() {
	for kind, w := range b.window {
		b.lowSeconds[kind] = w.latencySum / float64(w.count)
		b.windowCount[kind] = 1
	}
	b.discard()
}

// discard drops the latencies of the current window and starts a new one.
func (b *baseline) discard() { clear(b.window) }

// lowLatency returns the long-term low latency of the kind, or zero.
func (b *baseline) lowLatency(kind string) time.Duration {
	low, ok := b.lowSeconds[kind]
	if !ok {
		low = b.lowSeconds[otherKind]
	}
	return time.Duration(low * float64(time.Second))
}
