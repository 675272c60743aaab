// Package baobabblackboard holds the shared state of a node, which controllers read and write. State is sharded
// under one lock per shard, and each fact has one owner that writes it.
package baobabblackboard
