// Command testbed runs the cases of the review: it starts nodes as processes, with stand-ins of the platform's store, of
// upstreams and of callers on loopback addresses, disturbs them and checks one rule.
package main
