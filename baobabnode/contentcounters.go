package baobabnode

import "github.com/VictoriaMetrics/metrics"

// contentCounters counts the contents of versions that other members sent: processed ones, and those whose version was in
// force, or outdated, before their turn.
type contentCounters struct {
	processed, superseded *metrics.Counter
}

func newContentCounters(set *metrics.Set) contentCounters {
	return contentCounters{
		processed:  set.NewCounter(`baobab_configuration_contents_total{result="processed"}`),
		superseded: set.NewCounter(`baobab_configuration_contents_total{result="superseded"}`),
	}
}
