package baobabsettings

import "time"

// Membership holds the intervals and timeouts of failure detection and of state exchange.
type Membership struct {
	probeInterval    time.Duration
	probeTimeout     time.Duration // Shorter than probeInterval.
	suspicionTimeout time.Duration
	exchangeInterval time.Duration
}

func readMembership(r *reader) Membership {
	m := Membership{
		probeInterval:    r.duration("membership", "probe_interval", time.Second, 10*time.Millisecond, time.Minute),
		probeTimeout:     r.duration("membership", "probe_timeout", 300*time.Millisecond, time.Millisecond, time.Minute),
		suspicionTimeout: r.duration("membership", "suspicion_timeout", 2*time.Second, 10*time.Millisecond, 10*time.Minute),
		exchangeInterval: r.duration("membership", "exchange_interval", 2*time.Second, 10*time.Millisecond, 10*time.Minute),
	}
	if m.probeTimeout >= m.probeInterval {
		r.addProblem("membership", "probe_timeout", "%s is not shorter than probe_interval %s", m.probeTimeout, m.probeInterval)
	}
	return m
}

// ProbeInterval returns the time between two probes of the same member.
func (m Membership) ProbeInterval() time.Duration { return m.probeInterval }

// ProbeTimeout returns the time allowed for a probe.
func (m Membership) ProbeTimeout() time.Duration { return m.probeTimeout }

// SuspicionTimeout returns how long a member is suspect before it is declared dead.
func (m Membership) SuspicionTimeout() time.Duration { return m.suspicionTimeout }

// ExchangeInterval returns the mean time between two exchanges.
func (m Membership) ExchangeInterval() time.Duration { return m.exchangeInterval }
