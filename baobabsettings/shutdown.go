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

// GracePeriod returns how long a stopping node still accepts callers' connections and calls, while its answers ask the
// callers to close their connections. After it the node closes its listeners.
func (s Shutdown) GracePeriod() time.Duration { return s.gracePeriod }

// DrainTimeout returns how long the node waits for calls in progress.
func (s Shutdown) DrainTimeout() time.Duration { return s.drainTimeout }
