package baobabpeer

// streamClass separates the bytes of calls from those of the control plane.
type streamClass int32

const (
	classControl streamClass = iota
	classCall
)
