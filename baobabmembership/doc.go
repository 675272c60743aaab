// Package baobabmembership implements the membership table of a SWIM-style gossip protocol. It has no clock, no
// goroutines and no connections: callers pass the current time, and a controller does the network I/O.
//
// Each member writes its own record and raises the incarnation with every change. Other nodes may only mark it suspect
// or dead at the same incarnation, which the member refutes with a higher one.
package baobabmembership
