package baobabnode

import "time"

// A confirmation is what a starting node has learned about the highest version.
type confirmation struct {
	platformErr error         // Nil when the platform has confirmed the version.
	answered    int           // Peers that have answered.
	waited      time.Duration // Since the start.
	patience    time.Duration // For which the platform is waited for.
	version     uint64        // In force.
	highest     uint64        // Heard of.
	rejected    uint64        // Rejected, or 0.
}

// missing returns why the node may not serve yet, or an empty text. Peers are enough when the platform has been away
// for a while.
func (c confirmation) missing() string {
	if c.platformErr != nil && (c.answered == 0 || c.waited < c.patience) {
		return "the platform has not confirmed the version: " + c.platformErr.Error()
	}
	if c.version == 0 {
		return "no configuration is in force"
	}
	if c.platformErr == nil {
		// The version of the head is in force or rejected. A higher number that a peer has heard of does not exist.
		return ""
	}
	if c.version < c.highest && c.rejected != c.highest {
		return "a newer version is known but not yet fetched"
	}
	return ""
}
