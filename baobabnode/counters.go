package baobabnode

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	route "github.com/baobabdale/baobabdale/baobabroute"
)

// counters counts attempts after the first by the reason of the retry, and retries that were not made by the reason
// why not. All counters exist from the start.
type counters struct {
	retries map[route.RetryReason]*metrics.Counter
	stops   map[route.StopReason]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{retries: map[route.RetryReason]*metrics.Counter{}, stops: map[route.StopReason]*metrics.Counter{}}
	for _, r := range route.RetryReasons() {
		c.retries[r] = set.NewCounter(fmt.Sprintf("baobab_ingress_retries_total{reason=%q}", r))
	}
	for _, r := range route.StopReasons() {
		c.stops[r] = set.NewCounter(fmt.Sprintf("baobab_ingress_retries_stopped_total{reason=%q}", r))
	}
	return c
}

// retried counts a retry.
func (c *counters) retried(r route.RetryReason) {
	if counter, ok := c.retries[r]; ok {
		counter.Inc()
	}
}

// stopped counts an attempt that failed and was not retried.
func (c *counters) stopped(r route.StopReason) {
	if counter, ok := c.stops[r]; ok {
		counter.Inc()
	}
}

// counts returns retries by reason and, with the prefix "stopped_", those that were not made. Reasons that have not
// occurred are left out.
func (c *counters) counts() map[string]uint64 {
	out := make(map[string]uint64)
	for reason, counter := range c.retries {
		if n := counter.Get(); n > 0 {
			out[string(reason)] = n
		}
	}
	for reason, counter := range c.stops {
		if n := counter.Get(); n > 0 {
			out["stopped_"+string(reason)] = n
		}
	}
	return out
}
