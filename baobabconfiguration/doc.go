// Package baobabconfiguration holds the resources that operators edit, documents made of them, their versions,
// snapshots and deltas, and the view of a document that one proxy gets. It has no state and does no I/O.
package baobabconfiguration
