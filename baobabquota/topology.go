package baobabquota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nodesPerShard is the number of nodes for each shard of accounts. While every node has use in every shard, a further
// shard adds reports and relieves no coordinator of any, so small meshes have one.
const nodesPerShard = 64

// ShardCount returns the number of shards of a mesh with the given number of nodes.
func ShardCount(nodes int) int { return max(1, (nodes+nodesPerShard-1)/nodesPerShard) }

// A Topology is a node's view of who coordinates which accounts.
type Topology struct {
	candidates [][]string // Ids by shard, the coordinator first; never empty, nor is any list.
	live       int        // Live members, at least 1.
	known      int        // Members, including dead ones that did not leave; at least live.
}

// NewTopology returns a view with the candidates for each shard, the number of live members, and the number of all members
// that did not leave. The first candidate of a shard coordinates it, each other one while those before it are out of reach.
func NewTopology(candidates [][]string, live, known int) Topology {
	live = max(live, 1)
	return Topology{candidates: candidates, live: live, known: max(known, live)}
}

// coordinator returns the first candidate of a shard.
func (t Topology) coordinator(shard int) string { return t.candidates[shard][0] }

// Earlier returns the candidates before the given one for the shard of an account, or nil if it is not a candidate.
func (t Topology) Earlier(account, candidate string) []string {
	list := t.candidates[t.shardOf(account)]
	if i := slices.Index(list, candidate); i > 0 {
		return list[:i]
	}
	return nil
}

// shardOf returns the shard of an account.
func (t Topology) shardOf(account string) int {
	return int(xxhash.Sum64String(account) % uint64(max(len(t.candidates), 1)))
}

// RateShare returns the part of a rate that this side of the mesh may grant. The majority may grant all of it. A minority
// gets a small part of its proportion, because the rest of the mesh may go on with the whole rate.
func (t Topology) RateShare() float64 {
	if 2*t.live > t.known {
		return 1
	}
	return float64(t.live) / float64(t.known) * minorityShare
}

// ownShare returns the part of a rate that one node may use without a coordinator.
func (t Topology) ownShare() float64 { return minorityShare / float64(t.known) }
