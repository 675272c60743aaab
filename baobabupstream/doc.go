// Package baobabupstream connects a node to its local upstream: it receives the upstream's announcements, probes its
// health and load endpoints, and sends it calls.
package baobabupstream
