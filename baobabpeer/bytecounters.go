package baobabpeer

import "github.com/VictoriaMetrics/metrics"

// byteCounters counts the traffic with peers of either the same or other failure domains.
type byteCounters struct {
	linkIn    *metrics.Counter // Bytes of the yamux session, including its headers and keepalives.
	linkOut   *metrics.Counter
	streamIn  [2]*metrics.Counter // Frames, by streamClass.
	streamOut [2]*metrics.Counter
}
