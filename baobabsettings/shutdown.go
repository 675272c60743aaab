package baobabsettings

import "time"

// Shutdown holds the time limits of a graceful shutdown.
type Shutdown struct {
	gracePeriod  time.Duration
	drainTimeout time.Duration
}

func readShutdown(r *reader) Shutdown {
	return Shutdown{
		gracePeriod:  r.duration("shutdown", "grace_period", time.Second, 0, 5*time.Minute),
		drainTimeout: r.duration("shutdown", "drain_timeout", 30*time.Second, 0, time.Hour),
	}
}

// GracePeriod returns how long the node refuses new calls as draining before it closes its listeners.
func (s Shutdown) GracePeriod() time.Duration { return s.gracePeriod }

// DrainTimeout returns how long the node waits for calls in progress.
func (s Shutdown) DrainTimeout() time.Duration { return s.drainTimeout }
