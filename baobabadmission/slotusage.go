package baobabadmission

import (
	"math"
	"time"
)

const (
	// minReservingRate is the rate in arrivals per second from which slots are reserved for a rank.
	minReservingRate = 0.5
	// slotWaitShare is the share of a rank's target that its calls may wait for a slot. It is the same quarter of the
	// target that counts as a short wait.
	slotWaitShare = shortWaitShare
	// irregularityFactor scales the wait up from what the mean rates of arrivals and of released slots imply, because
	// both are irregular. With 2, slots were reserved although calls of 200 ms released one every 11 ms.
	irregularityFactor = 1.5
	// reservedSlotsDivisor limits the slots that are reserved for a rank to a third of all.
	reservedSlotsDivisor = 3
)

// A SlotUsage describes the use of an upstream's slots when a permit is about to be granted. For the zero value no slot
// is reserved.
//
// When calls of several hundred ms hold all slots of an upstream, calls of 20 ms wait for most of their target. Other
// upstreams make such short calls while they serve a call themselves, and that call then fails.
type SlotUsage struct {
	limit          int            // Calls that may run concurrently; 0 when unknown.
	free           int            // Free slots.
	inFlightByRank map[string]int // Calls in flight, by rank name.
}

// NewSlotUsage returns the slot usage of an upstream that may run limit calls concurrently. The calls in flight are
// counted by rank name; the map is not copied.
func NewSlotUsage(limit int, inFlightByRank map[string]int) SlotUsage {
	u := SlotUsage{limit: limit, free: limit, inFlightByRank: inFlightByRank}
	for _, n := range inFlightByRank {
		u.free -= n
	}
	return u
}

// idle reports whether no call is in flight. A permit must then be granted if any call waits.
func (u SlotUsage) idle() bool { return u.free >= u.limit }

// reservedSlots returns how many slots less urgent calls, which hold a slot for the given time, must leave free for an
// urgent rank. When the rank would wait too long for the slots that such calls release, these are as many slots as it
// needs on average, less the calls of the rank that are in flight.
func (u SlotUsage) reservedSlots(urgent *rankQueue, rank Rank, now time.Time, hold time.Duration) int {
	rate := urgent.arrivalRate(now)
	if rank.latencyTarget <= 0 || rate < minReservingRate || u.limit <= 0 {
		return 0
	}
	interval := hold / time.Duration(u.limit)                  // Between two released slots.
	crowding := irregularityFactor * rate * interval.Seconds() // Above 1, calls of the rank also wait for each other.
	if time.Duration(float64(interval)*max(1, crowding)) <= time.Duration(slotWaitShare*float64(rank.latencyTarget)) {
		return 0
	}
	need := int(math.Ceil(rate * urgent.expectedLatency.Seconds()))
	return max(0, min(max(need, 1), u.limit/reservedSlotsDivisor)-u.inFlightByRank[rank.name])
}
