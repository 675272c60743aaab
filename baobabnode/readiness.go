package baobabnode

import "time"

// Ready implements operator.Readiness. A node that stops still serves its callers for a while, but is not ready, so
// that load balancers send callers elsewhere.
func (n *Node) Ready(now time.Time) (bool, string) {
	if n.stopping.Load() {
		return false, "stopping"
	}
	return n.starter.Ready(now)
}
