package baobabdependency

import call "github.com/baobabdale/baobabdale/baobabcall"

// Ending is how a nested call ended, as far as it shows whether a service has room.
type Ending int

const (
	// EndingServed means that an upstream answered, with any status.
	EndingServed Ending = iota
	// EndingShort means that the call was refused for lack of room.
	EndingShort
	// EndingFailed means that the call failed for any other reason. It says nothing about room.
	EndingFailed
)

// Endings returns all endings.
func Endings() []Ending { return []Ending{EndingServed, EndingShort, EndingFailed} }

// EndingOf returns how a call ended, by its refusal, or nil for an answered call. Upstreams that refuse calls themselves may
// do so for any reason, so only refusals of admission control count as a lack of room.
func EndingOf(refusal *call.Refusal) Ending {
	switch {
	case refusal == nil:
		return EndingServed
	case LacksRoom(refusal):
		return EndingShort
	default:
		return EndingFailed
	}
}

// LacksRoom reports whether admission control refused a call because other calls take the room.
func LacksRoom(refusal *call.Refusal) bool {
	if refusal.Outcome() != call.OutcomeNotRun {
		return false
	}
	switch refusal.Reason() {
	case call.ReasonCallerShare, call.ReasonDeadlinePassed, call.ReasonDeadlineUnmeetable, call.ReasonDependencyShort,
		call.ReasonNoFreeSlot, call.ReasonQueueFull:
		return true
	default:
		return false
	}
}

// String returns the name of the ending in metrics.
func (e Ending) String() string {
	switch e {
	case EndingServed:
		return "served"
	case EndingShort:
		return "short"
	default:
		return "failed"
	}
}
