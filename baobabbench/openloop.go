package main

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// poisson returns the start times of requests that arrive independently at a mean rate per second.
func poisson(random *rand.Rand, rate float64, duration time.Duration) []time.Duration {
	var list []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return list
		}
		list = append(list, at)
	}
}

// openLoop starts a request at each scheduled time, whether or not earlier ones have ended, and waits for all. Do
// gets the index and the scheduled time, from which latency counts.
func openLoop(ctx context.Context, schedule []time.Duration, do func(index int, scheduled time.Time)) {
	// The runtime's timers may fire a millisecond late; a thread that sleeps in the kernel wakes within about 0.1 ms.
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
