// Package baobabroute selects the endpoint of a call at the ingress node and decides whether a failed attempt is
// retried. It never reads the clock or a global random source: both are arguments.
package baobabroute
