package baobabnode

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// A transferMeter counts the bytes of large bodies that are in progress on this VM's link, in each direction. It is safe
// for concurrent use.
type transferMeter struct {
	grantAbove     int64 // Bodies of more bytes need a grant; zero: none does.
	bytesPerSecond int64 // Speed of the link in each direction; zero: unknown.

	sending   atomic.Int64 // Bytes that remain to be sent.
	receiving atomic.Int64 // Bytes that remain to be received.

	granted, refused, lost *metrics.Counter
}

func newTransferMeter(grantAbove, bytesPerSecond int64, set *metrics.Set) *transferMeter {
	m := &transferMeter{
		grantAbove: grantAbove, bytesPerSecond: bytesPerSecond,
		granted: set.NewCounter(`baobab_balance_bodies_total{result="granted"}`),
		lost:    set.NewCounter(`baobab_balance_bodies_total{result="lost"}`),
		refused: set.NewCounter(`baobab_balance_bodies_total{result="refused"}`),
	}
	set.NewGauge(`baobab_balance_body_bytes{direction="in"}`, func() float64 { return float64(m.receiving.Load()) })
	set.NewGauge(`baobab_balance_body_bytes{direction="out"}`, func() float64 { return float64(m.sending.Load()) })
	return m
}

// needsGrant reports whether a body is sent to another node only after that node has asked for it.
func (m *transferMeter) needsGrant(size int) bool {
	return m != nil && m.grantAbove > 0 && int64(size) > m.grantAbove
}

// sendTime returns how long the transfer of another body to another node takes at most, or zero if the speed of the link
// is not known.
func (m *transferMeter) sendTime(size int64) time.Duration {
	return m.transferTime(m.sending.Load() + size)
}

// transferTime returns how long a number of bytes takes on the link, or zero if its speed is not known.
func (m *transferMeter) transferTime(bytes int64) time.Duration {
	if m.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(m.bytesPerSecond) * float64(time.Second))
}
