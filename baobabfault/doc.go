// Package baobabfault is a TCP proxy that injects failures between two processes, for tests and the bench. Product
// packages do not import it.
package baobabfault
