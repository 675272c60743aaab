package baobabnode

import (
	"fmt"
	"io"
	"time"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// registerMetrics registers the metrics of the node itself. Those of its servers and its transport are registered
// elsewhere.
func (n *Node) registerMetrics() {
	gauges := []struct {
		name  string
		value func() float64
	}{
		{"baobab_admission_in_flight", func() float64 { return float64(n.gate.Load(n.now()).InFlight()) }},
		{"baobab_admission_limit", func() float64 { return float64(n.gate.Load(n.now()).Limit()) }},
		{"baobab_admission_queued", func() float64 { return float64(n.gate.Load(n.now()).Queued()) }},
		{"baobab_admission_wait_seconds", func() float64 { return n.gate.Load(n.now()).Wait().Seconds() }},
		{"baobab_claim_doubts", func() float64 { return float64(n.ledger.OrphanCount()) }},
		{"baobab_configuration_highest_number", func() float64 { return float64(n.board.HighestNumber()) }},
		{"baobab_configuration_in_force_timestamp_seconds", n.activeSinceTimestamp},
		{"baobab_configuration_number", func() float64 { return float64(n.board.ActiveVersion().Number()) }},
		{"baobab_configuration_rejected_number", func() float64 { return float64(n.configuration.rejectedNumber()) }},
		{"baobab_configuration_verified_age_seconds", func() float64 { return n.configuration.verification.Age(n.configuration.bootTime()).Seconds() }},
		{"baobab_membership_endpoints", n.countEndpoints},
		{"baobab_rollout_running", func() float64 { return float64(n.rollouts.evidence.running.Load()) }},
		{"baobab_upstream_request_limit", func() float64 {
			limit, _ := n.registry.Notice().RequestLimit()
			return limit
		}},
		{"baobab_quarantine_refused", func() float64 {
			_, refused := n.quarantine.countFingerprints(n.now())
			return float64(refused)
		}},
		{"baobab_quarantine_suspected", func() float64 {
			suspected, _ := n.quarantine.countFingerprints(n.now())
			return float64(suspected)
		}},
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
	for _, s := range []membership.State{membership.StateAlive, membership.StateSuspect} {
		n.metrics.NewGauge(fmt.Sprintf(`baobab_membership_members{state=%q}`, s), func() float64 { return float64(n.countMembers(s)) })
	}
	for _, s := range upstream.States() {
		n.metrics.NewGauge(fmt.Sprintf("baobab_upstream_state{state=%q}", s), func() float64 { return n.upstreamInState(s) })
	}
	n.metrics.RegisterMetricsWriter(n.writeAdmissionMetrics)
	n.metrics.RegisterMetricsWriter(n.dependencies.writeMetrics)
	n.metrics.RegisterMetricsWriter(n.accounts.writeMetrics)
	n.metrics.RegisterMetricsWriter(n.rollouts.writeMetrics)
}

// writeAdmissionMetrics writes the counters of the admission gate. Their ranks come from the policy, so they cannot be
// registered at the start.
func (n *Node) writeAdmissionMetrics(w io.Writer) {
	for _, r := range n.gate.Refusals() {
		_, _ = fmt.Fprintf(w, "baobab_admission_refusals_total{rank=%q,reason=%q} %d\n", r.Rank(), r.Reason(), r.Count())
	}
	_, _ = fmt.Fprintf(w, "baobab_admission_pauses_total %d\n", n.gate.Pauses())
	if _, ok := localPolicy(n.board); !ok {
		return
	}
	for _, u := range n.gate.Usage() {
		_, _ = fmt.Fprintf(w, "baobab_admission_granted_total{rank=%q} %d\n", u.Rank(), u.Granted())
		_, _ = fmt.Fprintf(w, "baobab_admission_held_seconds_total{rank=%q} %.3f\n", u.Rank(), u.Held().Seconds())
		_, _ = fmt.Fprintf(w, "baobab_admission_waited_seconds_total{rank=%q} %.3f\n", u.Rank(), u.Waited().Seconds())
		_, _ = fmt.Fprintf(w, "baobab_admission_overloaded_since_timestamp_seconds{rank=%q} %.3f\n", u.Rank(), unixSeconds(n.gate.OverloadedSince(n.now(), u.Rank())))
	}
}

// unixSeconds returns a time in Unix seconds, or 0 for the zero time.
func unixSeconds(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return float64(t.UnixNano()) / 1e9
}

// upstreamInState returns 1 if the local upstream is in the given state, and 0 if it is not or if there is none.
func (n *Node) upstreamInState(s upstream.State) float64 {
	if u := n.board.Upstream(); u != nil && u.State() == s {
		return 1
	}
	return 0
}

// activeSinceTimestamp returns when the current version came into force on this node, in Unix seconds, or 0 without one.
func (n *Node) activeSinceTimestamp() float64 {
	active := n.board.ActiveConfiguration()
	if active == nil {
		return 0
	}
	return float64(active.ActiveSince().UnixNano()) / 1e9
}

// countEndpoints returns the number of live members whose upstream accepts calls.
func (n *Node) countEndpoints() float64 {
	count := 0
	for _, m := range n.members.liveMembers() {
		if e, ok := m.Endpoint(); ok && acceptsCalls(e.State()) {
			count++
		}
	}
	return float64(count)
}

func (n *Node) countMembers(s membership.State) int {
	count := 0
	for _, m := range n.members.liveMembers() {
		if m.State() == s {
			count++
		}
	}
	return count
}
