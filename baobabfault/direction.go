package baobabfault

// direction is the way of the bytes on a connection.
type direction int

const (
	toTarget direction = iota
	toClient
)
