package main

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// poissonSchedule returns the arrival times of a Poisson process with the given mean rate per second, relative to its
// start.
func poissonSchedule(random *rand.Rand, rate float64, duration time.Duration) []time.Duration {
	var list []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return list
		}
		list = append(list, at)
	}
}

// openLoop generates open-loop load: it calls do at each scheduled time, whether or not earlier calls have returned,
// and waits for all. Latency is to be counted from the scheduled time that do receives.
func openLoop(ctx context.Context, schedule []time.Duration, do func(index int, scheduled time.Time)) {
	// Timers of the Go runtime may fire 1 ms late; a locked thread in nanosleep wakes within about 0.1 ms.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var wg sync.WaitGroup
	defer wg.Wait()
	begin := time.Now()
	for i, at := range schedule {
		if ctx.Err() != nil {
			return
		}
		scheduled := begin.Add(at)
		if wait := time.Until(scheduled); wait > 0 {
			pause := syscall.NsecToTimespec(wait.Nanoseconds())
			_ = syscall.Nanosleep(&pause, nil)
		}
		wg.Go(func() { do(i, scheduled) })
	}
}
