// Package baobabquarantine counts requests that crash upstreams and refuses them for a limited time.
//
// Nodes broadcast crash reports and merge those of others. Which requests are refused depends only on the set of
// reports, not on their order, so nodes with the same reports refuse the same requests. The times of refusal differ
// between nodes by no more than the time that the reports take to arrive.
package baobabquarantine
