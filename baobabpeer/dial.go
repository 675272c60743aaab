package baobabpeer

// A dial is an attempt to establish a link that any number of callers wait for.
type dial struct {
	done chan struct{} // Closed after err is set.
	err  error
}
