package baobabnode

import (
	"fmt"

	"github.com/baobabdale/baobabdale/baobabmembership"
)

// registerMetrics registers the gauges of the node's state.
func (n *Node) registerMetrics() {
	gauges := []struct {
		name  string
		value func() float64
	}{
		{"baobab_admission_in_flight", func() float64 { return float64(n.gate.Load(n.now()).InFlight()) }},
		{"baobab_admission_limit", func() float64 { return float64(n.gate.Load(n.now()).Limit()) }},
		{"baobab_admission_queued", func() float64 { return float64(n.gate.Load(n.now()).Queued()) }},
		{"baobab_admission_wait_seconds", func() float64 { return n.gate.Load(n.now()).Wait().Seconds() }},
		{"baobab_configuration_highest_number", func() float64 { return float64(n.board.Highest()) }},
		{"baobab_configuration_number", func() float64 { return float64(n.board.Version().Number()) }},
		{"baobab_configuration_rejected_number", func() float64 { return float64(n.configuration.rejectedNumber()) }},
	}
	for _, g := range gauges {
		n.metrics.NewGauge(g.name, g.value)
	}
	for _, s := range []baobabmembership.State{baobabmembership.StateAlive, baobabmembership.StateSuspect} {
		n.metrics.NewGauge(fmt.Sprintf(`baobab_membership_members{state=%q}`, s), func() float64 { return float64(n.countMembers(s)) })
	}
}

func (n *Node) countMembers(s baobabmembership.State) int {
	count := 0
	for _, m := range n.members.live() {
		if m.State() == s {
			count++
		}
	}
	return count
}
