package baobabrollout

import (
	"math"
	"time"
)

// latencyBuckets is the number of latency buckets. Bucket i ends at 1 ms times 2 to the power of i/2; the last one, from about
// 16 s, has no end.
const latencyBuckets = 30

// A Counts counts the answers of one version to one kind of request.
type Counts struct {
	good    uint64
	failed  uint64
	latency [latencyBuckets]uint64 // Of answers that did not fail, by bucket; without those of upstreams that warm up.
}

// NewCounts returns counts that another node reported. Latency counts beyond the last bucket are ignored.
func NewCounts(good, failed uint64, latency []uint64) Counts {
	c := Counts{good: good, failed: failed}
	copy(c.latency[:], latency)
	return c
}

// Good returns the number of answers that did not fail.
func (c Counts) Good() uint64 { return c.good }

// Failed returns the number of failed answers.
func (c Counts) Failed() uint64 { return c.failed }

// Latency returns the number of answers in each latency bucket, without empty ones at the end.
func (c Counts) Latency() []uint64 {
	n := latencyBuckets
	for n > 0 && c.latency[n-1] == 0 {
		n--
	}
	return append([]uint64(nil), c.latency[:n]...)
}

// Record counts an answer. The latency of an upstream that warms up is not counted.
func (c *Counts) Record(ok bool, latency time.Duration, warm bool) {
	if !ok {
		c.failed++
		return
	}
	c.good++
	if warm {
		c.latency[latencyBucket(latency)]++
	}
}

// latencyBucket returns the index of the bucket of a latency.
func latencyBucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(ms))), latencyBuckets-1)
}

// answers returns the number of answers.
func (c Counts) answers() uint64 { return c.good + c.failed }

// timed returns the number of answers with a latency.
func (c Counts) timed() uint64 {
	n := uint64(0)
	for _, v := range c.latency {
		n += v
	}
	return n
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	c.good += o.good
	c.failed += o.failed
	for i, v := range o.latency {
		c.latency[i] += v
	}
	return c
}

// minus returns what was counted since earlier. It returns c if earlier is not an earlier state of the same counts.
func (c Counts) minus(earlier Counts) Counts {
	if earlier.good > c.good || earlier.failed > c.failed {
		return c
	}
	d := Counts{good: c.good - earlier.good, failed: c.failed - earlier.failed}
	for i, v := range c.latency {
		if earlier.latency[i] > v {
			return c
		}
		d.latency[i] = v - earlier.latency[i]
	}
	return d
}

// medianBucket returns the bucket of the median latency.
func (c Counts) medianBucket() int {
	half, n := c.timed()/2, uint64(0)
	for i, v := range c.latency {
		if n += v; n > half {
			return i
		}
	}
	return 0
}

// above returns the number of answers in buckets after the given one.
func (c Counts) above(bucket int) uint64 {
	n := uint64(0)
	for i := bucket + 1; i < latencyBuckets; i++ {
		n += c.latency[i]
	}
	return n
}
