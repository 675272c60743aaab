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
		heartbeatLimit: r.duration("upstream", "heartbeat_limit", 2200*time.Millisecond, 100*time.Millisecond, time.Hour),
		cold:           r.duration("upstream", "warm_up", 10*time.Second, 0, time.Hour),
		fixedLimit:     r.choice("upstream", "concurrency", "learnt", "learnt", "announced") == "announced",
		probe:          r.choice("upstream", "probes", "on", "on", "off") == "on",
		address:        r.optionalAddress("upstream", "address", netip.AddrPort{}),
	}
	u.service, _ = r.value("upstream", "service")
	return u
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
