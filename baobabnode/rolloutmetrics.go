package baobabnode

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// writeMetrics writes the share of each roll-out that this node knows.
func (c *rolloutController) writeMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(c.splits)) {
		if r := c.splits[service].Record(); r.Order() > 0 {
			_, _ = fmt.Fprintf(w, "baobab_rollout_share{service=%q} %g\n", service, r.Share())
		}
	}
}
