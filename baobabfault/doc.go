// Package baobabfault is a TCP proxy that injects faults between two processes, for tests and benchmarks. Product
// packages do not import it.
package baobabfault
