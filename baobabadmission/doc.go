// Package baobabadmission decides which calls a node forwards to the upstream on its VM, and when.
//
// A Queue orders waiting calls by rank, with a guaranteed floor per rank and round robin among callers, and refuses
// early the calls that cannot meet their deadline. A Limiter learns how many calls the upstream can run concurrently.
// Neither reads a clock: the current time is an argument. A Gate combines them and is safe for concurrent use.
package baobabadmission
