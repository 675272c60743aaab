// Package baobabupstream is the upstreams' edge: it takes announcements of the local upstream, probes its health
// and load endpoints for hints, and hands it calls.
package baobabupstream
