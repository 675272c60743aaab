package main

import (
	"slices"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// totalProcessorTime sums the processor time that the processes of nodes have used since they started.
func totalProcessorTime(nodes []*baobabemulator.MeshNode) (time.Duration, error) {
	var sum time.Duration
	for _, n := range nodes {
		u, err := n.NodeProcess().Usage()
		if err != nil {
			return 0, err
		}
		sum += u.ProcessorTime()
	}
	return sum, nil
}

// medianAndRange returns the median (the upper one of an even number of values), the lowest and the highest value, or
// zeros without values.
func medianAndRange(values []float64) (median, low, high float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[len(s)/2], s[0], s[len(s)-1]
}
