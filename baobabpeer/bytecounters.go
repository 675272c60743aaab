package baobabpeer

import "github.com/VictoriaMetrics/metrics"

// byteCounters count the traffic with one side of the failure domain's border.
type byteCounters struct {
	linkIn    *metrics.Counter // Everything on the connection, including handshakes and keepalives.
	linkOut   *metrics.Counter
	streamIn  [2]*metrics.Counter // Frames, by streamClass.
	streamOut [2]*metrics.Counter
}
