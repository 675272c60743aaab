package baobabcommand

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap between collections. A node's live heap is a few
	// MiB, so that with the default of 100 it collects many times a second under load.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent when the heap grows, so that a node of a large mesh stays
	// within its 32 MB: the program itself takes 13 MB of them.
	memoryLimitBytes = 16 << 20
	// threadLimit bounds the threads that run Go code. A call wakes a dozen goroutines one after the other; with a thread
	// for each of 10 cores, threads that look for work take 12 to 18% more processor time per call.
	threadLimit = 2
)

// LimitResources sets the number of threads and the garbage collector for a node.
func LimitResources() {
	limitMemory()
	limitThreads()
}

// limitThreads sets the number of threads that run Go code unless the environment does.
func limitThreads() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > threadLimit {
		runtime.GOMAXPROCS(threadLimit)
	}
}

// limitMemory sets the garbage collector unless the environment does.
func limitMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
