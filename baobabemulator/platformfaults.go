package baobabemulator

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PlatformFaults is the set of injected faults. Its JSON form is the body of POST /v1/faults, in which omitted fields
// keep their values.
type PlatformFaults struct {
	Down         bool   `json:"down"`          // Each connection is closed before the request takes effect.
	Delay        string `json:"delay"`         // Time before each request takes effect, for example "50ms".
	RefuseReads  int    `json:"refuse_reads"`  // Number of next reads to refuse with status 503.
	RefuseWrites int    `json:"refuse_writes"` // Number of next writes to refuse with status 503.
	LoseWrites   int    `json:"lose_writes"`   // Number of next writes that take effect but whose responses are lost.
	StaleReads   bool   `json:"stale_reads"`   // Reads of rows return the state at the time this was enabled.
}

// Validate returns an error if a number is negative or the delay cannot be parsed.
func (f PlatformFaults) Validate() error {
	if f.RefuseReads < 0 || f.RefuseWrites < 0 || f.LoseWrites < 0 {
		return errors.New("a number of requests is negative")
	}
	if f.Delay == "" {
		return nil
	}
	d, err := time.ParseDuration(f.Delay)
	if err != nil {
		return errors.Wrap(err, "delay")
	}
	if d < 0 {
		return errors.New("delay is negative")
	}
	return nil
}

// A platformFaultAction is what a fault does to one request.
type platformFaultAction int

const (
	platformPass platformFaultAction = iota
	platformRefuse
	platformLoseResponse    // Apply the write, then lose the response.
	platformCloseConnection // Close the connection without applying the request.
)

// platformFaultInjector holds the faults and counts down those that are limited to a number of requests.
type platformFaultInjector struct {
	mu     sync.Mutex
	faults PlatformFaults
}

func (i *platformFaultInjector) get() PlatformFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *platformFaultInjector) set(f PlatformFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *platformFaultInjector) delay() time.Duration {
	d, err := time.ParseDuration(i.get().Delay)
	if err != nil {
		return 0 // The delay is empty, because Validate rejects other unparsable texts.
	}
	return d
}

// nextAction returns the action for the next request.
func (i *platformFaultInjector) nextAction(write bool) platformFaultAction {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := &i.faults
	switch {
	case f.Down:
		return platformCloseConnection
	case write && f.RefuseWrites > 0:
		f.RefuseWrites--
		return platformRefuse
	case !write && f.RefuseReads > 0:
		f.RefuseReads--
		return platformRefuse
	case write && f.LoseWrites > 0:
		f.LoseWrites--
		return platformLoseResponse
	}
	return platformPass
}
