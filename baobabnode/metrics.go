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
		{"baobab_configuration_in_force_timestamp_seconds", n.inForceSince},
		{"baobab_configuration_number", func() float64 { return float64(n.board.Version().Number()) }},
		{"baobab_configuration_rejected_number", func() float64 { return float64(n.configuration.rejectedNumber()) }},
	}
	for _, g := range gauges {
		n.metrics.NewGauge(g.name, g.value)
	}
	for i, side := range []string{"dialled", "accepted"} {
		n.metrics.NewGauge(fmt.Sprintf(`baobab_peer_links_open{side=%q}`, side), func() float64 {
			dialled, accepted := n.transport.Links()
			return float64([]int{dialled, accepted}[i])
		})
	}
	for _, s := range []baobabmembership.State{baobabmembership.StateAlive, baobabmembership.StateSuspect} {
		n.metrics.NewGauge(fmt.Sprintf(`baobab_membership_members{state=%q}`, s), func() float64 { return float64(n.countMembers(s)) })
	}
}

// inForceSince returns when the version in force came into force here, in Unix seconds, or zero.
func (n *Node) inForceSince() float64 {
	f := n.board.InForce()
	if f == nil {
		return 0
	}
	return float64(f.Since().UnixNano()) / 1e9
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
