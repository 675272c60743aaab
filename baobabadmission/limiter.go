package baobabadmission

import (
	"math"
	"time"
)

const (
	// windowSamples is the number of successes in a window. The mean of 100 exponential latencies varies by 10%,
	// and ratioWeight brings it to 4%. Windows of 50 without smoothing let noise cut the limit, which lost 11% of
	// the throughput.
	windowSamples = 100

	// recoveryShare is the share of the announced slots below which a limit grows by recoveryGrowth per window, not
	// judged by its effect, and windows are shorter, down to recoverySamples: the announcement says that the upstream
	// can take that much, and at a limit of 1 a window of 100 calls lasts 100 latencies. With shares of 0.33 and 0.5 an
	// upstream that had lost two thirds of its slots was overloaded again and again.
	recoveryShare   = 0.25
	recoveryGrowth  = 1.5
	recoverySamples = 40

	// growRatio is the relative latency below which the limit may grow.
	growRatio = 1.25
	// highRatio is the relative latency above which the limit falls.
	highRatio = 1.5
	// targetRatio is the relative latency that a decrease aims at; above 1 so that the upstream stays busy.
	targetRatio = 1.25
	// deepestCut bounds one decrease, because latencies of calls sent before it are still to come.
	deepestCut = 0.5
	// shedCut is the factor after the upstream shed a call.
	shedCut = 0.8
	// growShare is the growth per window, as a share of the limit; at least one.
	growShare = 0.1
	// inUseShare is the share of the limit that must have been in flight for the limit to grow.
	inUseShare = 0.9

	// ratioWeight is the weight of one window in the smoothed ratio and throughput.
	ratioWeight = 0.3
	// steadyBand is the relative distance of a window from the smoothed ratio within which the upstream counts as
	// unchanged; two deviations of a window.
	steadyBand = 0.2
	// settleLatencies is the number of mean latencies after a change of the limit that are not measured.
	settleLatencies = 2
	// judgeWindows is the number of windows by which growth, which adds only a small share of the limit, and the
	// confirming cut are judged. One window does not show their effect clearly above the noise.
	judgeWindows = 3
	// confirmAfter is the number of windows after which a cut that looked useless is tried again, by confirmCut. A
	// loss of capacity in the middle of a judgement otherwise leaves a high limit in place for good.
	confirmAfter = 10
	confirmCut   = 0.5
	// growthPause is the number of windows for which a limit that proved useless is not tried again.
	growthPause = 30

	// latencyWeight is the weight of one call in the recent mean latency.
	latencyWeight = 0.1
	// shortestShare of the long-term low latency is taken as the least time that a call needs; the low is a low
	// of means, and single calls are faster.
	shortestShare = 0.5

	defaultWarmUp         = 10 * time.Second
	defaultWarmUpFraction = 0.25
)

// move is the last change of a limit.
type move int

const (
	moveNone move = iota
	moveUp
	moveDown
)

// A Limiter learns how many calls the upstream can run at once. It reads no clock and is not safe for concurrent
// use.
//
// It starts from the announced slots and compares the mean latency of each window of successful calls with the
// long-term low. A low latency raises a limit that is in use; when this raises the latency and not the throughput
// it is undone. A high latency lowers the limit; when this lowers the throughput and not the latency, the calls
// themselves have become slower, not queued, so the limit is restored and the low is set to the new latency.
// Failed and cancelled calls are ignored.
type Limiter struct {
	warmUp         time.Duration
	warmUpFraction float64
	fixed          bool // The announced slots are the limit; only latencies are learnt.

	slots       int
	connections int       // Upper bound of the limit, at least 1.
	started     time.Time // When the upstream started; zero means long ago.

	limit    float64            // At least 1, at most connections.
	latency  float64            // Recent mean latency of successes in seconds; zero when not measured.
	kinds    map[string]float64 // Likewise by kind, for at most maxKinds kinds.
	baseline *baseline

	changed     time.Time // Calls sent before this time say nothing about the present limit.
	settled     time.Time // Calls that end before this time are a biased sample.
	windowStart time.Time // Zero when the window is empty.
	successes   int
	mostRunning int // Greatest number in flight seen in the window.

	windows    int     // Under the present limit.
	ratio      float64 // Smoothed over these windows.
	throughput float64 // Smoothed likewise, successes per second.

	restore float64 // Limit before the present run of cuts.
	// confirm counts the windows, down to 1, until a cut that looked useless is tried once more.
	confirm    int
	confirming bool    // The last cut was that one.
	useless    float64 // A limit that did not raise throughput; not tried while pause is above zero.
	pause      int     // Windows.

	recovered bool // The limit has grown by recovery and not been cut since.

	last           move
	lastLimit      float64 // Before the last move.
	lastRatio      float64 // Smoothed, before the last move; infinite when the move is not judged.
	lastThroughput float64 // Smoothed, before the last move.
}

// NewLimiter returns a limiter that allows one call until Announce.
func NewLimiter(warmUp time.Duration, warmUpFraction float64) *Limiter {
	return &Limiter{
		warmUp:         warmUp,
		warmUpFraction: warmUpFraction,
		slots:          1,
		connections:    1,
		limit:          1,
		kinds:          map[string]float64{},
		baseline:       newBaseline(),
	}
}

// Announce sets what the upstream announces. Changed slots or another start time begin learning again.
func (l *Limiter) Announce(now time.Time, slots, connections int, started time.Time) {
	slots = max(1, slots)
	connections = max(1, connections)
	if !started.Equal(l.started) {
		l.baseline = newBaseline()
		l.latency = 0
		clear(l.kinds)
	}
	if !started.Equal(l.started) || slots != l.slots {
		l.pause, l.confirm, l.confirming = 0, 0, false
		l.set(now, float64(slots))
	}
	l.slots, l.connections, l.started = slots, connections, started
	l.limit = min(max(l.limit, 1), float64(connections))
}

// Limit returns how many calls may run now: the learnt limit, ramped while the upstream warms up.
func (l *Limiter) Limit(now time.Time) int {
	return max(1, int(l.limit*l.ramp(now)))
}

// ramp returns the share of the limit that the upstream's age allows.
func (l *Limiter) ramp(now time.Time) float64 {
	if l.started.IsZero() || l.warmUp <= 0 {
		return 1
	}
	age := max(0, now.Sub(l.started))
	if age >= l.warmUp {
		return 1
	}
	return l.warmUpFraction + (1-l.warmUpFraction)*float64(age)/float64(l.warmUp)
}

// Latency returns the recent mean latency of successful calls, or zero.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.latency * float64(time.Second))
}

// Expected returns the recent mean latency of successful calls of a kind, or of all where none of the kind was measured.
func (l *Limiter) Expected(kind string) time.Duration {
	if v, ok := l.kinds[kind]; ok {
		return time.Duration(v * float64(time.Second))
	}
	return l.Latency()
}

// noteKind takes a latency into the mean of its kind.
func (l *Limiter) noteKind(kind string, latency time.Duration) {
	old, ok := l.kinds[kind]
	if !ok {
		if len(l.kinds) < maxKinds {
			l.kinds[kind] = latency.Seconds()
		}
		return
	}
	l.kinds[kind] = old + latencyWeight*(latency.Seconds()-old)
}

// Shortest returns the least time that a call of the kind is known to need, or zero.
func (l *Limiter) Shortest(kind string) time.Duration {
	return time.Duration(float64(l.baseline.lowest(kind)) * shortestShare)
}

// Record takes note of a call that ended: its kind, its latency, its outcome, and the number of calls that were
// in flight including it.
func (l *Limiter) Record(now time.Time, kind string, latency time.Duration, o Outcome, inFlight int) {
	latency = max(0, latency)
	switch o {
	case OutcomeShed:
		l.shed(now, now.Add(-latency), inFlight)
	case OutcomeSucceeded:
		l.success(now, kind, latency, inFlight)
	case OutcomeFailed, OutcomeCancelled:
	}
}

// shed lowers the limit, once for all calls that were sent under the same limit.
func (l *Limiter) shed(now, sent time.Time, inFlight int) {
	if l.fixed || sent.Before(l.changed) {
		return
	}
	l.set(now, max(1, min(l.limit, float64(inFlight))*shedCut))
}

func (l *Limiter) success(now time.Time, kind string, latency time.Duration, inFlight int) {
	if l.latency == 0 {
		l.latency = latency.Seconds()
	}
	l.latency += latencyWeight * (latency.Seconds() - l.latency)
	l.noteKind(kind, latency)
	if now.Add(-latency).Before(l.changed) || now.Before(l.settled) {
		return
	}
	if l.ramp(now) < 1 {
		// A cold upstream is slow for another reason than load.
		return
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.successes++
	l.mostRunning = max(l.mostRunning, inFlight)
	l.baseline.add(kind, latency)
	if l.successes >= l.windowLength() {
		l.decide(now)
	}
}

// decide moves the limit at the end of a window.
func (l *Limiter) decide(now time.Time) {
	if l.fixed {
		l.baseline.close(baselineRise(1, false))
		l.nextWindow(now)
		return
	}
	ratio := l.baseline.ratio()
	throughput := float64(l.successes) / max(now.Sub(l.windowStart).Seconds(), 1e-6)
	l.smooth(ratio, throughput)
	inUse := float64(l.mostRunning) >= inUseShare*float64(int(l.limit))
	grown := l.grown()
	l.pause = max(0, l.pause-1)
	switch {
	case l.confirming && l.windows < judgeWindows:
		l.baseline.discard()
	case l.last == moveDown && l.moveWasUseless():
		l.baseline.rebase()
		if !l.confirming {
			l.confirm = confirmAfter
		}
		l.confirming = false
		l.set(now, l.restore)
	case l.ratio > highRatio:
		l.cut(now, max(deepestCut, targetRatio/max(l.ratio, ratio)), ratio)
	case l.last == moveUp && l.windows < judgeWindows:
		l.baseline.close(0)
	case l.last == moveUp && l.moveWasUseless():
		l.useless, l.pause = l.limit, growthPause
		l.set(now, l.lastLimit)
	case l.ratio < growRatio && inUse && l.recovering() && l.pause == 0:
		l.baseline.close(baselineRise(l.ratio, inUse))
		l.recover(now)
	case l.confirm == 1:
		l.confirm, l.confirming = 0, true
		l.cut(now, confirmCut, l.ratio)
	case l.ratio < growRatio && inUse && grown > l.limit:
		l.baseline.close(baselineRise(l.ratio, inUse))
		l.change(now, moveUp, grown, ratio)
	default:
		l.last, l.confirming = moveNone, false
		l.confirm = max(0, l.confirm-1)
		l.baseline.close(baselineRise(l.ratio, inUse))
	}
	l.nextWindow(now)
}

// recovering reports whether the limit is far below what the upstream announces.
func (l *Limiter) recovering() bool { return l.limit < recoveryShare*float64(l.slots) }

// windowLength returns the number of successes in a window.
func (l *Limiter) windowLength() int {
	if !l.recovering() {
		return windowSamples
	}
	return max(recoverySamples, int(windowSamples*l.limit/float64(l.slots)))
}

// recover raises a limit that is far below the announced slots.
func (l *Limiter) recover(now time.Time) {
	l.set(now, min(recoveryShare*float64(l.slots), max(l.limit+1, l.limit*recoveryGrowth)))
	l.recovered = true
}

// grown returns the next higher limit, or the present one where it must not grow.
func (l *Limiter) grown() float64 {
	next := min(float64(l.connections), l.limit+max(1, l.limit*growShare))
	if l.pause > 0 && next >= l.useless {
		return l.limit
	}
	return next
}

// smooth takes a window into the smoothed ratio and throughput, which begin as plain means.
func (l *Limiter) smooth(ratio, throughput float64) {
	l.windows++
	weight := max(ratioWeight, 1/float64(l.windows))
	l.ratio += weight * (ratio - l.ratio)
	l.throughput += weight * (throughput - l.throughput)
}

// cut multiplies the limit by the factor after a window with the ratio.
func (l *Limiter) cut(now time.Time, factor, ratio float64) {
	if l.last != moveDown {
		l.restore = l.limit
	}
	if l.recovered {
		// The upstream takes less than it announces; do not try again at once.
		l.useless, l.pause = l.limit, growthPause
	}
	base := min(l.limit, float64(l.mostRunning))
	l.change(now, moveDown, max(1, base*factor), ratio)
}

// change moves the limit after a window with the ratio and keeps what was measured before, to judge the move by.
// A window far from the smoothed ratio shows that the upstream itself has just changed. Then the move is not
// judged: compared with the higher throughput before a loss of capacity, every cut would look useless.
func (l *Limiter) change(now time.Time, m move, limit, ratio float64) {
	lastLimit, lastRatio, lastThroughput := l.limit, l.ratio, l.throughput
	if math.Abs(ratio-l.ratio) > steadyBand*l.ratio {
		lastRatio = math.Inf(1)
	}
	l.set(now, limit)
	l.last, l.lastLimit, l.lastRatio, l.lastThroughput = m, lastLimit, lastRatio, lastThroughput
}

// set moves the limit and begins measuring anew. Calls that end soon after are ignored: those sent before ran under
// another limit, and of those sent since only the short ones have ended.
func (l *Limiter) set(now time.Time, limit float64) {
	l.limit = limit
	l.changed = now
	l.settled = now.Add(settleLatencies * l.Latency())
	l.last, l.recovered = moveNone, false
	l.ratio, l.throughput, l.windows = 0, 0, 0
	l.nextWindow(time.Time{})
}

// nextWindow begins a window. After a change of the limit it starts with the first call that is counted, which a
// zero windowStart marks, also when the change came at the end of a window.
func (l *Limiter) nextWindow(start time.Time) {
	if l.windowStart.IsZero() {
		start = time.Time{}
	}
	l.windowStart = start
	l.successes = 0
	l.mostRunning = 0
	l.baseline.discard()
}

// moveWasUseless reports whether latency and throughput both stayed short of halfway to the benefit that the last
// move was made for: a cut lowered the throughput and not the latency, or growth raised the latency and not the
// throughput.
func (l *Limiter) moveWasUseless() bool {
	halfway := (1 + l.limit/l.lastLimit) / 2
	return l.ratio > l.lastRatio*halfway && l.throughput < l.lastThroughput*halfway
}
