package baobabadmission

import "time"

const (
	// activeRate is the number of grants a second from which on a slot is kept for a rank.
	activeRate = 0.5
	// keptShare is the share of a rank's target that it may wait for a slot. A quarter counts as a short wait elsewhere too.
	keptShare = calmShare
)

// A Room is what an upstream has left when a permit is about to be granted. The zero value keeps no slot free.
//
// Calls of several hundred ms that fill all slots of a small upstream make a call of 20 ms wait for 50 to 100 ms, which
// is most of its target; such calls are made by other upstreams, whose own calls then fail.
type Room struct {
	free    int           // Slots without a call; 0: not known.
	running int           // Calls that run.
	release time.Duration // Mean time until the next running call ends; zero when not known.
}

// NewRoom returns the room of an upstream with some free slots, in which a running call ends each release on average.
func NewRoom(free, running int, release time.Duration) Room {
	return Room{free: free, running: running, release: release}
}

// last reports whether the next grant takes the last free slot while others run.
func (r Room) last() bool { return r.free == 1 && r.running > 0 }
