package baobabdependency

import "time"

const (
	// latencyWeight is the weight of one nested call in the recent mean latency.
	latencyWeight = 0.1
	// roomLatencyShare is the latency, as a share of that during the shortage, below which a service has room again. While
	// it lacks room, the calls that it serves wait.
	roomLatencyShare = 0.6
)

// A dependency is what is known about the nested calls of one kind of root to one service.
type dependency struct {
	service string
	calls   [EndingFailed + 1]int // Since the last decision about the kind, by ending.
	total   [EndingFailed + 1]uint64
	latency time.Duration // Recent mean of served calls; zero before the first one.
	took    time.Duration // Sum of the served calls since the last decision.

	shortLatency time.Duration // Mean of the served calls when the service last lacked room; zero when not known.
}

// record adds a nested call that took the given time.
func (d *dependency) record(e Ending, took time.Duration) {
	d.calls[e]++
	d.total[e]++
	if e != EndingServed {
		return
	}
	d.took += took
	if d.latency == 0 {
		d.latency = took
	}
	d.latency += time.Duration(latencyWeight * float64(took-d.latency))
}

// meanTook returns the mean of the served calls since the last decision, or zero.
func (d *dependency) meanTook() time.Duration {
	return d.took / time.Duration(max(d.calls[EndingServed], 1))
}

// hasRoomAgain reports whether all nested calls since the last decision were served, much faster than in the shortage.
func (d *dependency) hasRoomAgain() bool {
	return d.calls[EndingServed] > 0 && d.calls[EndingShort] == 0 &&
		d.meanTook() < time.Duration(roomLatencyShare*float64(d.shortLatency))
}

// clear forgets the calls since the last decision.
func (d *dependency) clear() { d.calls, d.took = [EndingFailed + 1]int{}, 0 }

// evidence returns how many nested calls since the last decision show whether the service has room.
func (d *dependency) evidence() int { return d.calls[EndingServed] + d.calls[EndingShort] }

// shortShare returns the share of these calls that were refused for lack of room.
func (d *dependency) shortShare() float64 {
	if d.evidence() == 0 {
		return 0
	}
	return float64(d.calls[EndingShort]) / float64(d.evidence())
}
