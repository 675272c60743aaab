package baobabnode

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	route "github.com/baobabdale/baobabdale/baobabroute"
)

// retryCounters counts retries by their reason, and failed attempts that were not retried by the reason for stopping.
// All counters are registered at the start.
type retryCounters struct {
	retries map[route.RetryReason]*metrics.Counter
	stops   map[route.StopReason]*metrics.Counter
}

func newRetryCounters(set *metrics.Set) *retryCounters {
	c := &retryCounters{retries: map[route.RetryReason]*metrics.Counter{}, stops: map[route.StopReason]*metrics.Counter{}}
	for _, r := range route.RetryReasons() {
		c.retries[r] = set.NewCounter(fmt.Sprintf("baobab_ingress_retries_total{reason=%q}", r))
	}
	for _, r := range route.StopReasons() {
		c.stops[r] = set.NewCounter(fmt.Sprintf("baobab_ingress_retries_stopped_total{reason=%q}", r))
	}
	return c
}

func (c *retryCounters) countRetry(r route.RetryReason) {
	if counter, ok := c.retries[r]; ok {
		counter.Inc()
	}
}

// countStop counts a failed attempt that was not retried.
func (c *retryCounters) countStop(r route.StopReason) {
	if counter, ok := c.stops[r]; ok {
		counter.Inc()
	}
}

// counts returns the number of retries by reason and, with the prefix "stopped_", of failed attempts that were not
// retried. It omits reasons that have not occurred.
func (c *retryCounters) counts() map[string]uint64 {
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
