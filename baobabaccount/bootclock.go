package baobabaccount

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started. Unlike the monotonic clock of package time it includes the time for
// which the machine was suspended, so that proofs age during a suspension.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // Every Linux since 2.6.39 has the clock.
	}
	return time.Duration(t.Nano())
}
