package baobabpeer

// streamClass tells call traffic from control-plane traffic in the byte counters.
type streamClass int32

const (
	classControl streamClass = iota
	classCall
)
