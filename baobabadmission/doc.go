// Package baobabadmission decides which calls a node hands to the upstream on its VM, and when.
//
// A Queue orders waiting calls by rank, with a floor per rank and equal turns per caller, and refuses early what
// cannot meet its deadline. A Limiter learns how many calls the upstream can run at once. Both are pure: the
// present time is an argument. A Gate combines them and is safe for concurrent use.
package baobabadmission
