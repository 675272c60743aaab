// Package baobabcall defines the terms that the edges, routing and admission share: calls, answers,
// refusals and outcomes.
package baobabcall
