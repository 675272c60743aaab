// Package baobabquarantine counts requests that crash upstreams and refuses them for a time.
//
// Nodes broadcast crash reports and merge those of others. What is refused depends only on the set of reports, not
// on their order, so all nodes that have the same reports refuse the same requests, for times that differ by no more
// than the reports' travel times.
package baobabquarantine
