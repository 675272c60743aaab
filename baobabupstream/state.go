package baobabupstream

// State is the state of the local upstream.
type State string

// States of an upstream. Upstreams announce all but StateFailed.
const (
	StateWarming  State = "warming"  // Started recently; gets an increasing share of calls.
	StateReady    State = "ready"    // Takes calls.
	StateDraining State = "draining" // Takes no new calls; finishes those in progress.
	StateFailed   State = "failed"   // Its heartbeats are missing, or it was marked as failed.
)

// States returns all states, in the order in which an upstream goes through them.
func States() []State { return []State{StateWarming, StateReady, StateDraining, StateFailed} }

// AcceptsCalls reports whether an upstream in this state may get new calls.
func (s State) AcceptsCalls() bool { return s == StateWarming || s == StateReady }

func (s State) announceable() bool { return s.AcceptsCalls() || s == StateDraining }
