package baobabcommand

import (
	"os"
	"runtime"
	"runtime/debug"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

const (
	// threadLimit bounds the threads that run Go code. A call wakes a dozen goroutines one after the other; with a thread
	// for each of 10 cores, threads that look for work take 12 to 18% more processor time per call.
	threadLimit = 2
)

// LimitResources sets the number of threads and the garbage collector for a node. Collections become more frequent when
// the heap reaches its size: with 16 MiB a node of a large mesh stays within its 32 MB, of which the program itself takes
// 13 MB, but under load a live heap near the limit makes the collector run all the time.
func LimitResources(l baobabsettings.Limits) {
	limitMemory(l)
	limitThreads()
}

// limitThreads sets the number of threads that run Go code unless the environment does.
func limitThreads() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > threadLimit {
		runtime.GOMAXPROCS(threadLimit)
	}
}

// limitMemory sets the garbage collector unless the environment does.
func limitMemory(l baobabsettings.Limits) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(l.HeapGrowth())
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(l.HeapSize().Bytes())
	}
}
