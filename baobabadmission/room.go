package baobabadmission

import (
	"math"
	"time"
)

const (
	// activeRate is the number of arrivals a second from which on slots are kept for a rank.
	activeRate = 0.5
	// keptShare is the share of a rank's target that it may wait for a slot. A quarter counts as a short wait elsewhere too.
	keptShare = calmShare
	// queueing is how much longer calls wait than their share of the slots that are given back says, because both come
	// irregularly. With 2, slots were kept where calls of 200 ms gave one back every 11 ms.
	queueing = 1.5
	// mostKept is the divisor of the slots that are kept at most from a less urgent rank.
	mostKept = 3
)

// A Room is what an upstream has left when a permit is about to be granted. The zero value keeps no slot free.
//
// Calls of several hundred ms that fill all slots of an upstream make calls of 20 ms wait for most of their target. Such
// short calls are made by other upstreams while they run a call of their own, which then fails.
type Room struct {
	limit   int            // Calls that may run at once; 0: not known.
	free    int            // Slots without a call.
	running map[string]int // Calls that run, by name of their rank.
}

// NewRoom returns the room of an upstream that may run limit calls and runs those of the given ranks.
func NewRoom(limit int, running map[string]int) Room {
	r := Room{limit: limit, free: limit, running: running}
	for _, n := range running {
		r.free -= n
	}
	return r
}

// idle reports whether nothing runs, so that a permit must be granted if any call waits.
func (r Room) idle() bool { return r.free >= r.limit }

// kept returns how many slots are kept for an urgent rank from calls that hold a slot for a time. They are as many as the
// rank needs on average, where it would wait too long for the slots that such calls give back.
func (r Room) kept(urgent *rankQueue, rank Rank, now time.Time, hold time.Duration) int {
	rate := urgent.arrivalRate(now)
	if rank.target <= 0 || rate < activeRate || r.limit <= 0 {
		return 0
	}
	interval := hold / time.Duration(r.limit)        // Between two slots that are given back.
	crowding := queueing * rate * interval.Seconds() // Above 1 the rank's calls wait for each other as well.
	if time.Duration(float64(interval)*max(1, crowding)) <= time.Duration(keptShare*float64(rank.target)) {
		return 0
	}
	need := int(math.Ceil(rate * urgent.expected.Seconds()))
	return max(0, min(max(need, 1), r.limit/mostKept)-r.running[rank.name])
}
