package baobabnode

import (
	"slices"
	"sync"
)

// arrivals holds the numbers of versions whose content has reached this node and is being processed or waits for it, so that
// it is not requested again. It is safe for concurrent use.
type arrivals struct {
	mu      sync.Mutex
	numbers []uint64 // Guarded by mu; one entry for each content.
}

// add records the arrival of the content of a version.
func (a *arrivals) add(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.numbers = append(a.numbers, number)
}

// remove records that a content has been processed.
func (a *arrivals) remove(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.numbers, number); i >= 0 {
		a.numbers = slices.Delete(a.numbers, i, i+1)
	}
}

// cover reports whether the content of a version or of a higher one has arrived.
func (a *arrivals) cover(number uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.numbers, func(n uint64) bool { return n >= number })
}
