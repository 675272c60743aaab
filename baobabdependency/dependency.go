package baobabdependency

import "time"

// latencyWeight is the weight of one nested call in the recent mean latency.
const latencyWeight = 0.1

// A dependency is what is known about the nested calls of one kind of root to one service.
type dependency struct {
	service string
	calls   [EndingFailed + 1]int // Since the last decision about the kind, by ending.
	total   [EndingFailed + 1]uint64
	latency time.Duration // Recent mean of served calls; zero before the first one.
}

// record adds a nested call that took the given time.
func (d *dependency) record(e Ending, took time.Duration) {
	d.calls[e]++
	d.total[e]++
	if e != EndingServed {
		return
	}
	if d.latency == 0 {
		d.latency = took
	}
	d.latency += time.Duration(latencyWeight * float64(took-d.latency))
}

// evidence returns how many nested calls since the last decision show whether the service has room.
func (d *dependency) evidence() int { return d.calls[EndingServed] + d.calls[EndingShort] }

// shortShare returns the share of these calls that were refused for lack of room.
func (d *dependency) shortShare() float64 {
	if d.evidence() == 0 {
		return 0
	}
	return float64(d.calls[EndingShort]) / float64(d.evidence())
}
