package baobabsettings

import (
	"net/netip"
	"time"
)

// Upstream holds the settings of the upstream on the node's VM. All of them are optional.
type Upstream struct {
	service        string
	address        netip.AddrPort
	heartbeatLimit time.Duration
	warmUp         time.Duration
	fixedLimit     bool
	probes         bool
}

func readUpstream(r *reader) Upstream {
	u := Upstream{
		heartbeatLimit: readHeartbeatLimit(r),
		warmUp:         r.duration("upstream", "warm_up", 10*time.Second, 0, time.Hour),
		fixedLimit:     r.choice("upstream", "concurrency", "learnt", "learnt", "announced") == "announced",
		probes:         r.choice("upstream", "probes", "on", "on", "off") == "on",
		address:        r.optionalAddress("upstream", "address", netip.AddrPort{}),
	}
	u.service, _ = r.value("upstream", "service")
	return u
}

// maxMissedHeartbeats is the number of heartbeat intervals after which an upstream without a heartbeat counts as
// failed. Heartbeats may be several intervals late, and a process that has ended refuses connections before that.
const maxMissedHeartbeats = 6

// readHeartbeatLimit returns the limit, which follows from the interval of heartbeats if that is set.
func readHeartbeatLimit(r *reader) time.Duration {
	limit := r.duration("upstream", "heartbeat_limit", 2200*time.Millisecond, 100*time.Millisecond, time.Hour)
	interval := r.duration("upstream", "heartbeat_interval", 0, 0, time.Hour)
	if interval == 0 {
		return limit
	}
	if r.hasKey("upstream", "heartbeat_limit") {
		r.addProblem("upstream", "heartbeat_interval", "either this or heartbeat_limit is given")
	}
	return maxMissedHeartbeats * interval
}

// Service returns the name of the service, or an empty string.
func (u Upstream) Service() string { return u.service }

// Address returns the address at which the upstream serves calls, or a zero address.
func (u Upstream) Address() netip.AddrPort { return u.address }

// HeartbeatLimit returns the time without a heartbeat after which the upstream counts as failed.
func (u Upstream) HeartbeatLimit() time.Duration { return u.heartbeatLimit }

// WarmUp returns how long a newly started upstream receives a reduced share of the calls.
func (u Upstream) WarmUp() time.Duration { return u.warmUp }

// FixedLimit reports whether the concurrency limit is the announced number of slots instead of an adaptive limit.
func (u Upstream) FixedLimit() bool { return u.fixedLimit }

// Probes reports whether the upstream's health endpoint is probed regularly.
func (u Upstream) Probes() bool { return u.probes }
