package baobabadmission

import (
	"math"
	"time"
)

const (
	// windowSamples is the number of successful calls in a window. The mean of 100 exponential latencies varies by 10%;
	// smoothing with smoothingWeight reduces this to 4%. With windows of 50 and no smoothing, noise cut the limit and
	// throughput fell by 11%.
	windowSamples = 100

	// recoveryShare is the share of the announced slots below which the limit grows by recoveryGrowthFactor per window
	// without an evaluation of its effect, and windows are shorter, down to minRecoverySamples. The upstream announces
	// that it can run that many calls, and at a limit of 1 a window of 100 calls lasts 100 latencies. With shares of
	// 0.33 and 0.5, an upstream that had lost two thirds of its slots was overloaded repeatedly.
	recoveryShare        = 0.25
	recoveryGrowthFactor = 1.5
	minRecoverySamples   = 40

	// growthRatio is the latency relative to the baseline below which the limit may grow.
	growthRatio = 1.25
	// cutRatio is the latency relative to the baseline above which the limit is cut.
	cutRatio = 1.5
	// targetRatio is the relative latency that a cut aims for. It is above 1 so that the upstream stays busy.
	targetRatio = 1.25
	// minCutFactor bounds a single cut, because calls sent before it have yet to report their latencies.
	minCutFactor = 0.5
	// shedCutFactor multiplies the limit when the upstream sheds a call.
	shedCutFactor = 0.8
	// growthShare is the growth per window as a share of the limit. The limit grows by at least 1.
	growthShare = 0.1
	// inUseShare is the share of the limit that must have been in flight in a window for the limit to grow.
	inUseShare = 0.9

	// smoothingWeight is the weight of one window in the smoothed ratio and throughput.
	smoothingWeight = 0.3
	// steadyTolerance is the relative deviation of a window from the smoothed ratio up to which the upstream counts as
	// unchanged. It is two standard deviations of a window.
	steadyTolerance = 0.2
	// settleLatencies is the time after a change of the limit, in mean latencies, during which samples are ignored.
	settleLatencies = 2
	// evaluationWindows is the number of windows after which growth and the confirming cut are evaluated. Growth adds
	// only a small share of the limit, and the effect of either is not clear of the noise after one window.
	evaluationWindows = 3
	// confirmAfterWindows is the number of windows after which an ineffective cut is tried again, by confirmCutFactor.
	// Otherwise a loss of capacity during an evaluation would leave a high limit in place permanently.
	confirmAfterWindows = 10
	confirmCutFactor    = 0.5
	// growthPauseWindows is the number of windows for which a limit that proved ineffective is not tried again.
	growthPauseWindows = 30

	// latencyWeight is the weight of one call in the recent mean latency.
	latencyWeight = 0.1
	// minServiceShare is the share of the long-term low latency that is taken as the minimum service time. The low is a
	// low of means, and single calls are faster.
	minServiceShare = 0.5

	defaultWarmUp         = 10 * time.Second
	defaultWarmUpFraction = 0.25
)

// limitChange is the direction of a change of the limit.
type limitChange int

const (
	changeNone limitChange = iota
	changeIncrease
	changeDecrease
)

// A Limiter learns how many calls the upstream can run concurrently. It reads no clock and is not safe for concurrent
// use.
//
// It starts from the announced slots and compares the mean latency of each window of successful calls with the
// long-term low. When the latency is low, a limit that is in use is raised; if this raises the latency but not the
// throughput, the change is undone. When the latency is high, the limit is cut; if this lowers the throughput but not
// the latency, the calls themselves have become slower and are not queued, so the limit is restored and the new latency
// becomes the baseline. Failed and cancelled calls are ignored.
type Limiter struct {
	warmUp         time.Duration
	warmUpFraction float64
	fixed          bool // The limit stays at the announced slots; only latencies are learnt.

	slots       int
	connections int       // Upper bound of the limit, at least 1.
	started     time.Time // Start time of the upstream; zero means long ago.

	limit       float64            // At least 1, at most connections.
	meanLatency float64            // Recent mean of successful calls in seconds; zero when not measured.
	kindLatency map[string]float64 // Recent mean in seconds, for at most maxKinds kinds.
	baseline    *baseline

	changedAt   time.Time // Calls sent before this time ran under an earlier limit.
	settledAt   time.Time // Calls that end before this time are a biased sample: only short ones have ended.
	windowStart time.Time // Zero when the window is empty.
	successes   int
	maxInFlight int // Maximum within the window.

	windows    int     // Since the last change of the limit.
	ratio      float64 // Smoothed over these windows; relative to the baseline.
	throughput float64 // Smoothed over these windows; successes per second.

	limitBeforeCuts float64 // Limit before the current series of cuts.
	// confirmCountdown is the number of windows until an ineffective cut is tried again; 0 when no retry is pending.
	confirmCountdown int
	confirming       bool    // The last change was the confirming cut.
	ineffectiveLimit float64 // A limit that did not raise throughput; not tried while growthPause is above zero.
	growthPause      int     // Remaining windows.

	recovered bool // The last change was made by recover.

	lastChange         limitChange
	previousLimit      float64 // Before the last change.
	previousRatio      float64 // Smoothed, before the last change; infinite when the change is not evaluated.
	previousThroughput float64 // Smoothed, before the last change.
}

// NewLimiter returns a limiter that allows one call at a time until Announce is called. The limit rises linearly from
// warmUpFraction of its value to the whole of it within warmUp after the start of the upstream.
func NewLimiter(warmUp time.Duration, warmUpFraction float64) *Limiter {
	return &Limiter{
		warmUp:         warmUp,
		warmUpFraction: warmUpFraction,
		slots:          1,
		connections:    1,
		limit:          1,
		kindLatency:    map[string]float64{},
		baseline:       newBaseline(),
	}
}

// Announce sets the values announced by the upstream. A change of slots or of the start time resets the learnt limit;
// a new start time also resets the latencies.
func (l *Limiter) Announce(now time.Time, slots, connections int, started time.Time) {
	slots = max(1, slots)
	connections = max(1, connections)
	if !started.Equal(l.started) {
		l.baseline = newBaseline()
		l.meanLatency = 0
		clear(l.kindLatency)
	}
	if !started.Equal(l.started) || slots != l.slots {
		l.growthPause, l.confirmCountdown, l.confirming = 0, 0, false
		l.setLimit(now, float64(slots))
	}
	l.slots, l.connections, l.started = slots, connections, started
	l.limit = min(max(l.limit, 1), float64(connections))
}

// Limit returns how many calls may run now: the learnt limit, reduced while the upstream warms up.
func (l *Limiter) Limit(now time.Time) int {
	return max(1, int(l.limit*l.warmUpShare(now)))
}

// warmUpShare returns the share of the limit that is allowed at the upstream's age.
func (l *Limiter) warmUpShare(now time.Time) float64 {
	if l.started.IsZero() || l.warmUp <= 0 {
		return 1
	}
	age := max(0, now.Sub(l.started))
	if age >= l.warmUp {
		return 1
	}
	return l.warmUpFraction + (1-l.warmUpFraction)*float64(age)/float64(l.warmUp)
}

// MeanLatency returns the recent mean latency of successful calls, or zero before the first one.
func (l *Limiter) MeanLatency() time.Duration {
	return time.Duration(l.meanLatency * float64(time.Second))
}

// ExpectedLatency returns the recent mean latency of successful calls of the kind, or of all calls when none of the kind
// was measured.
func (l *Limiter) ExpectedLatency(kind string) time.Duration {
	if v, ok := l.kindLatency[kind]; ok {
		return time.Duration(v * float64(time.Second))
	}
	return l.MeanLatency()
}

// observeKind adds a latency to the mean of its kind.
func (l *Limiter) observeKind(kind string, latency time.Duration) {
	old, ok := l.kindLatency[kind]
	if !ok {
		if len(l.kindLatency) < maxKinds {
			l.kindLatency[kind] = latency.Seconds()
		}
		return
	}
	l.kindLatency[kind] = old + latencyWeight*(latency.Seconds()-old)
}

// MinServiceTime returns an estimate of the least time that a call of the kind needs, or zero when unknown.
func (l *Limiter) MinServiceTime(kind string) time.Duration {
	return time.Duration(float64(l.baseline.lowLatency(kind)) * minServiceShare)
}

// Record records the end of a call. The number of calls in flight includes this call.
func (l *Limiter) Record(now time.Time, kind string, latency time.Duration, o Outcome, inFlight int) {
	latency = max(0, latency)
	switch o {
	case OutcomeShed:
		l.recordShed(now, now.Add(-latency), inFlight)
	case OutcomeSucceeded:
		l.recordSuccess(now, kind, latency, inFlight)
	case OutcomeFailed, OutcomeCancelled:
	}
}

// recordShed cuts the limit, once for all calls that were sent under the same limit.
func (l *Limiter) recordShed(now, sent time.Time, inFlight int) {
	if l.fixed || sent.Before(l.changedAt) {
		return
	}
	l.setLimit(now, max(1, min(l.limit, float64(inFlight))*shedCutFactor))
}

func (l *Limiter) recordSuccess(now time.Time, kind string, latency time.Duration, inFlight int) {
	if l.meanLatency == 0 {
		l.meanLatency = latency.Seconds()
	}
	l.meanLatency += latencyWeight * (latency.Seconds() - l.meanLatency)
	l.observeKind(kind, latency)
	if now.Add(-latency).Before(l.changedAt) || now.Before(l.settledAt) {
		return
	}
	if l.warmUpShare(now) < 1 {
		// An upstream that is warming up is slow for reasons other than load.
		return
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.successes++
	l.maxInFlight = max(l.maxInFlight, inFlight)
	l.baseline.add(kind, latency)
	if l.successes >= l.windowSize() {
		l.adjust(now)
	}
}

// adjust evaluates the last change of the limit at the end of a window, and decides on the next one.
func (l *Limiter) adjust(now time.Time) {
	if l.fixed {
		l.baseline.close(higherMeanWeight(1, false))
		l.startWindow(now)
		return
	}
	ratio := l.baseline.ratio()
	throughput := float64(l.successes) / max(now.Sub(l.windowStart).Seconds(), 1e-6)
	l.smooth(ratio, throughput)
	inUse := float64(l.maxInFlight) >= inUseShare*float64(int(l.limit))
	next := l.nextLimit()
	l.growthPause = max(0, l.growthPause-1)
	switch {
	case l.confirming && l.windows < evaluationWindows:
		l.baseline.discard()
	case l.lastChange == changeDecrease && l.lastChangeIneffective():
		l.baseline.rebase()
		if !l.confirming {
			l.confirmCountdown = confirmAfterWindows
		}
		l.confirming = false
		l.setLimit(now, l.limitBeforeCuts)
	case l.ratio > cutRatio:
		l.cut(now, max(minCutFactor, targetRatio/max(l.ratio, ratio)), ratio)
	case l.lastChange == changeIncrease && l.windows < evaluationWindows:
		l.baseline.close(0)
	case l.lastChange == changeIncrease && l.lastChangeIneffective():
		l.ineffectiveLimit, l.growthPause = l.limit, growthPauseWindows
		l.setLimit(now, l.previousLimit)
	case l.ratio < growthRatio && inUse && l.recovering() && l.growthPause == 0:
		l.baseline.close(higherMeanWeight(l.ratio, inUse))
		l.recover(now)
	case l.confirmCountdown == 1:
		l.confirmCountdown, l.confirming = 0, true
		l.cut(now, confirmCutFactor, l.ratio)
	case l.ratio < growthRatio && inUse && next > l.limit:
		l.baseline.close(higherMeanWeight(l.ratio, inUse))
		l.applyChange(now, changeIncrease, next, ratio)
	default:
		l.lastChange, l.confirming = changeNone, false
		l.confirmCountdown = max(0, l.confirmCountdown-1)
		l.baseline.close(higherMeanWeight(l.ratio, inUse))
	}
	l.startWindow(now)
}

// recovering reports whether the limit is below recoveryShare of the announced slots.
func (l *Limiter) recovering() bool { return l.limit < recoveryShare*float64(l.slots) }

// windowSize returns the number of successful calls in a window.
func (l *Limiter) windowSize() int {
	if !l.recovering() {
		return windowSamples
	}
	return max(minRecoverySamples, int(windowSamples*l.limit/float64(l.slots)))
}

// recover raises a limit that is far below the announced slots, to at most recoveryShare of them.
func (l *Limiter) recover(now time.Time) {
	l.setLimit(now, min(recoveryShare*float64(l.slots), max(l.limit+1, l.limit*recoveryGrowthFactor)))
	l.recovered = true
}

// nextLimit returns the next higher limit, or the current one when it must not grow.
func (l *Limiter) nextLimit() float64 {
	next := min(float64(l.connections), l.limit+max(1, l.limit*growthShare))
	if l.growthPause > 0 && next >= l.ineffectiveLimit {
		return l.limit
	}
	return next
}

// smooth adds a window to the smoothed ratio and throughput, which start as plain means.
func (l *Limiter) smooth(ratio, throughput float64) {
	l.windows++
	weight := max(smoothingWeight, 1/float64(l.windows))
	l.ratio += weight * (ratio - l.ratio)
	l.throughput += weight * (throughput - l.throughput)
}

// cut multiplies the limit, or the calls in flight if fewer, by the factor after a window with the given ratio.
func (l *Limiter) cut(now time.Time, factor, ratio float64) {
	if l.lastChange != changeDecrease {
		l.limitBeforeCuts = l.limit
	}
	if l.recovered {
		// The upstream can run fewer calls than it announces, so this limit is not tried again immediately.
		l.ineffectiveLimit, l.growthPause = l.limit, growthPauseWindows
	}
	base := min(l.limit, float64(l.maxInFlight))
	l.applyChange(now, changeDecrease, max(1, base*factor), ratio)
}

// applyChange sets the limit after a window with the given ratio and keeps the previous measurements to evaluate the
// change. A window far from the smoothed ratio shows that the upstream itself has just changed. The change is then not
// evaluated: compared with the higher throughput before a loss of capacity, every cut would look ineffective.
func (l *Limiter) applyChange(now time.Time, c limitChange, limit, ratio float64) {
	previousLimit, previousRatio, previousThroughput := l.limit, l.ratio, l.throughput
	if math.Abs(ratio-l.ratio) > steadyTolerance*l.ratio {
		previousRatio = math.Inf(1)
	}
	l.setLimit(now, limit)
	l.lastChange, l.previousLimit, l.previousRatio, l.previousThroughput = c, previousLimit, previousRatio, previousThroughput
}

// setLimit sets the limit and restarts the measurement. Calls that end soon after are ignored: those sent before ran
// under another limit, and of those sent since only the short ones have ended.
func (l *Limiter) setLimit(now time.Time, limit float64) {
	l.limit = limit
	l.changedAt = now
	l.settledAt = now.Add(settleLatencies * l.MeanLatency())
	l.lastChange, l.recovered = changeNone, false
	l.ratio, l.throughput, l.windows = 0, 0, 0
	l.startWindow(time.Time{})
}

// startWindow starts a window. After a change of the limit, even one at the end of a window, windowStart stays zero and
// the window starts with the first call that is counted.
func (l *Limiter) startWindow(start time.Time) {
	if l.windowStart.IsZero() {
		start = time.Time{}
	}
	l.windowStart = start
	l.successes = 0
	l.maxInFlight = 0
	l.baseline.discard()
}

// lastChangeIneffective reports whether latency and throughput both fell short of half the benefit expected of the last
// change: a cut lowered the throughput but not the latency, or growth raised the latency but not the throughput.
func (l *Limiter) lastChangeIneffective() bool {
	halfway := (1 + l.limit/l.previousLimit) / 2
	return l.ratio > l.previousRatio*halfway && l.throughput < l.previousThroughput*halfway
}
