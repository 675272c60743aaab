// Package baobabplatform is the client of the platform: a transactional table service and an object store.
// The protocol is described in docs/platform-api.md.
package baobabplatform
