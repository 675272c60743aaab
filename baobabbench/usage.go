package main

import (
	"slices"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// processorTime returns the processor time of the processes of nodes since their start.
func processorTime(nodes []*baobabemulator.MeshNode) (time.Duration, error) {
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

// spread returns the median, the lowest and the highest value.
func spread(values []float64) (median, low, high float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[len(s)/2], s[0], s[len(s)-1]
}
