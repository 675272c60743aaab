package baobabemulator

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PlatformFaults is the present set of injected faults. The JSON form is the body of POST /v1/faults, where
// fields that are left out keep their value.
type PlatformFaults struct {
	Down         bool   `json:"down"`          // Every connection is closed before the request has an effect.
	Delay        string `json:"delay"`         // Each request waits this long before it takes effect, for example "50ms".
	RefuseReads  int    `json:"refuse_reads"`  // The next reads are refused with status 503.
	RefuseWrites int    `json:"refuse_writes"` // The next writes are refused with status 503.
	LoseWrites   int    `json:"lose_writes"`   // The next writes take effect and their answer is lost.
	StaleReads   bool   `json:"stale_reads"`   // Reads of rows see the state at the time this was switched on.
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

type platformVerdict int

const (
	platformPass platformVerdict = iota
	platformRefuse
	platformLose // Apply the write, then lose the answer.
	platformDrop // Close the connection without effect.
)

// platformInjector holds the faults and counts them down.
type platformInjector struct {
	mu     sync.Mutex
	faults PlatformFaults
}

func (i *platformInjector) get() PlatformFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *platformInjector) set(f PlatformFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *platformInjector) delay() time.Duration {
	d, err := time.ParseDuration(i.get().Delay)
	if err != nil {
		return 0 // The empty text; other texts are refused by Validate.
	}
	return d
}

func (i *platformInjector) decide(write bool) platformVerdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := &i.faults
	switch {
	case f.Down:
		return platformDrop
	case write && f.RefuseWrites > 0:
		f.RefuseWrites--
		return platformRefuse
	case !write && f.RefuseReads > 0:
		f.RefuseReads--
		return platformRefuse
	case write && f.LoseWrites > 0:
		f.LoseWrites--
		return platformLose
	}
	return platformPass
}
