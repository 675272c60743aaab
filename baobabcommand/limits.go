package baobabcommand

import (
	"os"
	"runtime"
	"runtime/debug"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

const (
	// maxThreads bounds the threads that run Go code. A call wakes a dozen goroutines one after the other; with one
	// thread for each of 10 cores, idle threads searching for work cost 12 to 18% more processor time per call.
	maxThreads = 2
)

// LimitResources configures the threads and the garbage collector of a node. Collections become more frequent when the
// heap reaches the configured size. With 16 MiB a node of a large mesh stays within its 32 MB, of which the program
// itself takes 13 MB, but under load a live heap near the limit makes the collector run continuously.
func LimitResources(l baobabsettings.Limits) {
	limitMemory(l)
	limitThreads()
}

// limitThreads sets the number of threads that run Go code unless GOMAXPROCS does.
func limitThreads() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > maxThreads {
		runtime.GOMAXPROCS(maxThreads)
	}
}

// limitMemory configures the garbage collector, except for what GOGC and GOMEMLIMIT set.
func limitMemory(l baobabsettings.Limits) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(l.HeapGrowth())
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(l.HeapSize().Bytes())
	}
}
