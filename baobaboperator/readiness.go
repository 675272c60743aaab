package baobaboperator

import "time"

// Readiness reports whether the node serves calls.
type Readiness interface {
	// Ready reports whether the node is ready and, if not, why.
	Ready(now time.Time) (ready bool, reason string)
}
