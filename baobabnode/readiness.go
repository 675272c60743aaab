package baobabnode

import "time"

// Ready implements operator.Readiness. A node that is shutting down still serves callers during its grace period, but
// reports not ready, so that load balancers send callers to other nodes.
func (n *Node) Ready(now time.Time) (bool, string) {
	if n.stopping.Load() {
		return false, "stopping"
	}
	return n.bootstrapper.Ready(now)
}
