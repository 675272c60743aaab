// Package baobaboperator implements the operator API of a node, which is an HTTP API under /v1, its client, and the
// metrics and health endpoints. The API reaches the node through the Service interface.
package baobaboperator
