package baobabmembership

// State is the state of a member.
type State string

// Member states, in the order of precedence at the same incarnation.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeft    State = "left"
)

// Live reports whether a member in this state still takes part: alive or suspect.
func (s State) Live() bool { return s == StateAlive || s == StateSuspect }

// rank returns the precedence, or -1 of an unknown state. Left outranks dead so that all tables settle on the same.
func (s State) rank() int {
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
