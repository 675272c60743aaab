// Package baobabroute chooses the endpoint of a call at ingress and decides about retries. Deciding functions are
// pure: the time and the source of random numbers are arguments.
package baobabroute
