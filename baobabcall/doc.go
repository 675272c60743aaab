// Package baobabcall defines the types that the servers for callers, upstreams and peers share with routing and
// admission: calls, answers, refusals and outcomes.
package baobabcall
