// Package baobabproof holds the integration tests: real processes behind fault-injecting proxies, checked by what
// callers received and what upstreams ran.
package baobabproof
