package baobaboperator

import "time"

// Readiness tells whether the node serves calls.
type Readiness interface {
	// Ready returns whether the node is ready and, if not, why.
	Ready(now time.Time) (ready bool, reason string)
}
