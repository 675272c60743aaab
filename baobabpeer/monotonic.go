package baobabpeer

import "time"

// processStart is the origin of monotonic times.
var processStart = time.Now()

// monotonic returns the nanoseconds since the start of the process by the steady clock, because the time of day may jump.
func monotonic() int64 { return int64(time.Since(processStart)) }
