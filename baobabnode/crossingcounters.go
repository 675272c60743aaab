package baobabnode

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	route "github.com/baobabdale/baobabdale/baobabroute"
)

// crossingCounters counts attempts that leave the failure domain, by distance and reason. All counters are registered at
// the start.
type crossingCounters struct {
	counters map[crossingKey]*metrics.Counter
}

// A crossingKey identifies a counter.
type crossingKey struct {
	tier   route.CrossingTier
	reason route.CrossingReason
}

func newCrossingCounters(set *metrics.Set) *crossingCounters {
	c := &crossingCounters{counters: map[crossingKey]*metrics.Counter{}}
	for _, tier := range route.CrossingTiers() {
		for _, reason := range route.CrossingReasons() {
			name := fmt.Sprintf("baobab_balance_crossings_total{tier=%q,reason=%q}", tier, reason)
			c.counters[crossingKey{tier, reason}] = set.NewCounter(name)
		}
	}
	return c
}

// count counts an attempt if it crosses.
func (c *crossingCounters) count(tier route.CrossingTier, reason route.CrossingReason, crosses bool) {
	if c != nil && crosses {
		c.counters[crossingKey{tier, reason}].Inc()
	}
}
