package baobabdependency

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
