// Package baobabrollout moves the requests of a service to upstreams of another version in stages, and judges that version
// by the answers of its upstreams.
package baobabrollout
