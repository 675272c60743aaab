package baobabpeer

import "time"

// processStart is the zero point of monotonicNanos.
var processStart = time.Now()

// monotonicNanos returns the nanoseconds since the start of the process by the monotonic clock, because the wall clock
// may jump.
func monotonicNanos() int64 { return int64(time.Since(processStart)) }
