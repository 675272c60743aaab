package baobabnode

import "github.com/VictoriaMetrics/metrics"

// headCheckCounters counts how often this node has asked the source for the head because others were silent.
type headCheckCounters struct {
	done, failed *metrics.Counter
}

func newHeadCheckCounters(set *metrics.Set) headCheckCounters {
	return headCheckCounters{
		done:   set.NewCounter(`baobab_configuration_head_checks_total{result="done"}`),
		failed: set.NewCounter(`baobab_configuration_head_checks_total{result="failed"}`),
	}
}
