package baobabcommand

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap between collections. A node's live heap is a few
	// MiB, so that with the default of 100 it collects many times a second under load.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent when the live heap grows, so that a node of a large mesh
	// stays within its 32 MB.
	memoryLimitBytes = 24 << 20
)

// limitMemory sets the garbage collector unless the environment does.
func limitMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
