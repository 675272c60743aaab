package baobabsettings

import (
	"net/netip"
	"time"
)

// Upstream is what is known in advance about the upstream on the node's VM. All of it may be absent.
type Upstream struct {
	service        string
	address        netip.AddrPort
	heartbeatLimit time.Duration
	cold           time.Duration
	fixedLimit     bool
	probe          bool
}

func readUpstream(r *reader) Upstream {
	u := Upstream{
		heartbeatLimit: readHeartbeatLimit(r),
		cold:           r.duration("upstream", "warm_up", 10*time.Second, 0, time.Hour),
		fixedLimit:     r.choice("upstream", "concurrency", "learnt", "learnt", "announced") == "announced",
		probe:          r.choice("upstream", "probes", "on", "on", "off") == "on",
		address:        r.optionalAddress("upstream", "address", netip.AddrPort{}),
	}
	u.service, _ = r.value("upstream", "service")
	return u
}

// missedHeartbeats is the number of announced intervals after which an upstream without a heartbeat counts as failed.
// Heartbeats may be late by several intervals, and a process that is gone refuses connections before that.
const missedHeartbeats = 6

// readHeartbeatLimit returns the limit, or what follows from the interval of heartbeats where that is known.
func readHeartbeatLimit(r *reader) time.Duration {
	limit := r.duration("upstream", "heartbeat_limit", 2200*time.Millisecond, 100*time.Millisecond, time.Hour)
	interval := r.duration("upstream", "heartbeat_interval", 0, 0, time.Hour)
	if interval == 0 {
		return limit
	}
	if r.present("upstream", "heartbeat_limit") {
		r.problem("upstream", "heartbeat_interval", "either this or heartbeat_limit is given")
	}
	return missedHeartbeats * interval
}

// Service returns the name of the service, or an empty text.
func (u Upstream) Service() string { return u.service }

// Address returns where the upstream takes calls, or a zero address.
func (u Upstream) Address() netip.AddrPort { return u.address }

// HeartbeatLimit returns the time without a heartbeat after which the upstream counts as failed.
func (u Upstream) HeartbeatLimit() time.Duration { return u.heartbeatLimit }

// WarmUp returns how long a started upstream gets a reduced share of the calls.
func (u Upstream) WarmUp() time.Duration { return u.cold }

// FixedLimit reports whether the announced slots bound the calls that run at the same time, instead of a learnt number.
func (u Upstream) FixedLimit() bool { return u.fixedLimit }

// Probes reports whether the upstream's health endpoint is asked regularly.
func (u Upstream) Probes() bool { return u.probe }
