// Package baobabblackboard holds the state that the controllers of a node share. Maps are sharded with one lock per
// shard, and each value has one controller that writes it.
package baobabblackboard
