// Package baobabconfiguration defines the resources that operators edit, the documents that consist of them, their
// versions, snapshots and deltas, and the view of a snapshot that a single proxy receives. It has no state and does no
// I/O.
package baobabconfiguration
