package baobabnode

import "time"

// A startupCheck holds what a starting node knows about the highest version, to decide whether it may serve.
type startupCheck struct {
	platformErr   error         // Nil if the platform has confirmed the version.
	peersAnswered int           // Number of peers that have answered.
	waited        time.Duration // Time since the start.
	platformWait  time.Duration // How long to wait for the platform before peers suffice.
	version       uint64        // Number of the version in force, or 0.
	highest       uint64        // Highest number reported by the platform or a peer.
	rejected      uint64        // Number of the last rejected version, or 0.
}

// notReadyReason returns why the node may not serve yet, or an empty string. The answers of peers suffice once the
// platform has been unavailable for platformWait.
func (c startupCheck) notReadyReason() string {
	if c.platformErr != nil && (c.peersAnswered == 0 || c.waited < c.platformWait) {
		return "the platform has not confirmed the version: " + c.platformErr.Error()
	}
	if c.version == 0 {
		return "no configuration is in force"
	}
	if c.platformErr == nil {
		// The head's version is in force or rejected, so a higher number reported by a peer does not exist.
		return ""
	}
	if c.version < c.highest && c.rejected != c.highest {
		return "a newer version is known but not yet fetched"
	}
	return ""
}
