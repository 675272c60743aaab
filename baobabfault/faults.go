package baobabfault

import (
	"math/rand/v2"
	"time"
)

// faults are the injected faults of one class of clients. The zero value forwards everything unchanged.
type faults struct {
	disconnected   bool
	halfOpen       bool
	dropReplies    bool
	delay          time.Duration
	jitter         time.Duration // Uniform random addition to the delay, from zero up to this.
	bytesPerSecond int           // Per direction of a connection; zero is unlimited.
	stallShare     float64       // Probability that a chunk is stalled.
	stallTime      time.Duration // Additional delay of a stalled chunk.
}

// dropsBytes reports whether bytes in a direction are dropped.
func (f faults) dropsBytes(d direction) bool { return f.halfOpen || f.dropReplies && d == toClient }

// latency returns how long the next chunk is delayed, apart from its transmission time.
func (f faults) latency(r *rand.Rand) time.Duration {
	latency := f.delay
	if f.jitter > 0 {
		latency += time.Duration(r.Int64N(int64(f.jitter)))
	}
	if f.stallShare > 0 && r.Float64() < f.stallShare {
		latency += f.stallTime
	}
	return latency
}

// transmissionTime returns how long a chunk occupies a throttled connection.
func (f faults) transmissionTime(bytes int) time.Duration {
	if f.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(f.bytesPerSecond)
}
