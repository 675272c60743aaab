package baobabmembership

// State is the state of a member.
type State string

// Member states, in ascending order of precedence at the same incarnation.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeft    State = "left"
)

// Live reports whether a member in this state still takes part in the mesh: alive or suspect.
func (s State) Live() bool { return s == StateAlive || s == StateSuspect }

// precedence returns the precedence among records of the same incarnation, or -1 for an unknown state. Left has a
// higher precedence than dead so that all tables converge to the same state.
func (s State) precedence() int {
	switch s {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	case StateDead:
		return 2
	case StateLeft:
		return 3
	default:
		return -1
	}
}
