package baobaboperator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Summarize builds the status from the reports of all members. Of several reports on one node it keeps the first that
// comes from the node itself. The newest version is the highest of known and those reported.
func Summarize(now time.Time, node string, known Version, reports []NodeReport) Status {
	reports = deduplicateReports(reports)
	s := Status{
		Node: node, Time: now, Version: newestVersion(known, reports),
		Rejections: []Rejection{}, Draining: []DrainingEndpoint{}, Unreachable: []UnreachableMember{},
	}
	for _, r := range reports {
		s.addNode(now, r)
	}
	s.FailureDomains = summarizeDomains(now, s.Version, reports)
	s.Members = countMemberStates(reports)
	s.Refusals = sumByReason(reports, func(r NodeReport) map[string]uint64 { return r.Refusals })
	s.Retries = sumByReason(reports, func(r NodeReport) map[string]uint64 { return r.Retries })
	return s
}

// deduplicateReports returns one report per node, sorted by id. Reports from the node itself take precedence.
func deduplicateReports(reports []NodeReport) []NodeReport {
	byID := map[string]NodeReport{}
	for _, r := range reports {
		if old, ok := byID[r.ID]; !ok || !old.responded() && r.responded() {
			byID[r.ID] = r
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b NodeReport) int { return cmp.Compare(a.ID, b.ID) })
}

func newestVersion(known Version, reports []NodeReport) Version {
	for _, r := range reports {
		if r.responded() && r.Version.Number > known.Number {
			known = r.Version
		}
	}
	return known
}

func (s *Status) addNode(now time.Time, r NodeReport) {
	if r.departed() {
		return
	}
	if !r.responded() {
		s.Unreachable = append(s.Unreachable, UnreachableMember{
			Node: r.ID, FailureDomain: r.FailureDomain, Reason: r.UnreachableReason,
		})
		return
	}
	if r.Rejected.Number > 0 {
		s.Rejections = append(s.Rejections, Rejection{
			Node: r.ID, FailureDomain: r.FailureDomain, Version: r.Rejected, Reason: r.RejectedReason,
			Time: now.Add(-r.RejectedAge),
		})
	}
	if r.EndpointState == "draining" {
		s.Draining = append(s.Draining, DrainingEndpoint{
			Node: r.ID, FailureDomain: r.FailureDomain, Service: r.Service, Upstream: r.Upstream,
		})
	}
}

func summarizeDomains(now time.Time, version Version, reports []NodeReport) []FailureDomain {
	byName := map[string]*FailureDomain{}
	for _, r := range reports {
		if r.departed() {
			continue
		}
		d := byName[r.FailureDomain]
		if d == nil {
			d = &FailureDomain{Name: r.FailureDomain, Behind: []BehindNode{}, Versions: []VersionCount{}}
			byName[r.FailureDomain] = d
		}
		d.addNode(now, version, r)
	}
	domains := make([]FailureDomain, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		d := byName[name]
		slices.SortFunc(d.Versions, func(a, b VersionCount) int {
			return cmp.Or(cmp.Compare(b.Version.Number, a.Version.Number), cmp.Compare(a.Version.Digest, b.Version.Digest))
		})
		domains = append(domains, *d)
	}
	return domains
}

func (d *FailureDomain) addNode(now time.Time, version Version, r NodeReport) {
	d.Nodes++
	if !r.responded() {
		d.Behind = append(d.Behind, BehindNode{Node: r.ID, Reason: "unreachable: " + r.UnreachableReason})
		return
	}
	d.countVersion(r.Version)
	if r.Version == version {
		d.AtVersion++
		return
	}
	since := now.Add(-r.VersionAge)
	behind := BehindNode{Node: r.ID, Version: r.Version, Reason: "not received yet", Since: &since}
	switch {
	case r.Rejected.Number == version.Number:
		rejectedAt := now.Add(-r.RejectedAge)
		behind.Reason = "rejected: " + r.RejectedReason
		behind.Since = &rejectedAt
	case r.Version.Number == version.Number:
		behind.Reason = fmt.Sprintf("another digest under number %d", version.Number)
	}
	d.Behind = append(d.Behind, behind)
}

func (d *FailureDomain) countVersion(v Version) {
	for i := range d.Versions {
		if d.Versions[i].Version == v {
			d.Versions[i].Nodes++
			return
		}
	}
	d.Versions = append(d.Versions, VersionCount{Version: v, Nodes: 1})
}

func countMemberStates(reports []NodeReport) []MemberStateCount {
	byState := map[string]*MemberStateCount{}
	for _, r := range reports {
		m := byState[r.State]
		if m == nil {
			m = &MemberStateCount{State: r.State}
			byState[r.State] = m
		}
		m.Count++
		if r.State != "alive" {
			m.Members = append(m.Members, r.ID)
		}
	}
	states := make([]MemberStateCount, 0, len(byState))
	for _, name := range slices.Sorted(maps.Keys(byState)) {
		states = append(states, *byState[name])
	}
	return states
}

func sumByReason(reports []NodeReport, counts func(NodeReport) map[string]uint64) []ReasonCount {
	sums := map[string]uint64{}
	for _, r := range reports {
		if !r.responded() {
			continue
		}
		for reason, n := range counts(r) {
			sums[reason] += n
		}
	}
	list := make([]ReasonCount, 0, len(sums))
	for _, reason := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, ReasonCount{Reason: reason, Count: sums[reason]})
	}
	return list
}
