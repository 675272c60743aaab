package baobabnode

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// counters counts refusals and retries by reason, for the metrics and for the status.
type counters struct {
	set *metrics.Set

	mu       sync.Mutex
	refusals map[string]*metrics.Counter // Guarded by mu.
	retries  map[string]*metrics.Counter // Guarded by mu.
}

// newCounters returns counters that are visible from the start for each refusal reason and each retry reason.
func newCounters(set *metrics.Set, retryReasons []string) *counters {
	c := &counters{set: set, refusals: map[string]*metrics.Counter{}, retries: map[string]*metrics.Counter{}}
	for _, r := range call.Reasons() {
		c.refusals[string(r)] = set.NewCounter(fmt.Sprintf(`baobab_ingress_refusals_total{reason=%q}`, r))
	}
	for _, r := range retryReasons {
		c.retries[r] = set.NewCounter(fmt.Sprintf(`baobab_ingress_retries_total{reason=%q}`, r))
	}
	return c
}

// refused counts a refusal that was sent to a caller.
func (c *counters) refused(r call.Reason) {
	c.add(c.refusals, "baobab_ingress_refusals_total", string(r))
}

// retried counts an attempt after the first, or a retry that was stopped, by its reason.
func (c *counters) retried(reason string) { c.add(c.retries, "baobab_ingress_retries_total", reason) }

func (c *counters) refusalCounts() map[string]uint64 { return c.counts(c.refusals) }

func (c *counters) retryCounts() map[string]uint64 { return c.counts(c.retries) }

func (c *counters) add(m map[string]*metrics.Counter, name, reason string) {
	c.mu.Lock()
	counter, ok := m[reason]
	if !ok {
		counter = c.set.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q}`, name, reason))
		m[reason] = counter
	}
	c.mu.Unlock()
	counter.Inc()
}

// counts leaves out reasons that have not occurred.
func (c *counters) counts(m map[string]*metrics.Counter) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64)
	for reason, counter := range m {
		if n := counter.Get(); n > 0 {
			out[reason] = n
		}
	}
	return out
}
