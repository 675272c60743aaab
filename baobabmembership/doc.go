// Package baobabmembership decides which nodes are members of the mesh. It has no clock, no goroutines and no
// connections: the present time is an argument, and a controller sends what the table asks for.
//
// A member's record is written by the member itself, which raises its incarnation with every change. Other nodes
// only add suspicion and death at the same incarnation, which the member refutes with a higher one.
package baobabmembership
