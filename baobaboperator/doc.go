// Package baobaboperator is the operators' edge of a node: the HTTP API under /v1, its client, the metrics
// and the health endpoints. The node behind the API is reached through the Service interface.
package baobaboperator
