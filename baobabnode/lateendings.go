package baobabnode

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// lateEndingBounds are the least delays after the deadline at which the ending of a call is counted, ascending.
var lateEndingBounds = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, maxLateness}

// lateEndings counts calls whose callers got the head of an answer or a refusal only after the deadline.
type lateEndings struct {
	counters []*metrics.Counter // Parallel to lateEndingBounds; each counts the calls beyond its bound.
}

func newLateEndings(set *metrics.Set) *lateEndings {
	l := &lateEndings{}
	for _, bound := range lateEndingBounds {
		l.counters = append(l.counters, set.NewCounter(fmt.Sprintf("baobab_ingress_late_endings_total{over=%q}", bound)))
	}
	return l
}

// count counts a call that has ended if it has ended late.
func (l *lateEndings) count(now, deadline time.Time) {
	over := now.Sub(deadline)
	for i, bound := range lateEndingBounds {
		if over <= bound {
			return
		}
		l.counters[i].Inc()
	}
}
