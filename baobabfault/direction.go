package baobabfault

// A direction is one of the two byte streams of a proxied connection.
type direction int

const (
	toTarget direction = iota
	toClient
)
