// Package baobabemulator holds stand-ins for the systems that a mesh depends on: the platform's table service
// and object store, and upstreams. The demo, the bench and the tests use it; product packages do not.
package baobabemulator
