// Package baobabemulator emulates the systems that a mesh depends on: the platform's table service and object store,
// upstreams and callers. It also starts whole meshes on loopback. The demo, the benchmarks and the tests use it; product
// packages do not.
package baobabemulator
