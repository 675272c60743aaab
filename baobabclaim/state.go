package baobabclaim

// A state is the state of a claim row.
type state string

const (
	stateRunning  state = "running"
	stateFinished state = "finished"
)

// stateAbsent is the state of a row that does not exist.
const stateAbsent state = ""
