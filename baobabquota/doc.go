// Package baobabquota limits the requests of a client account over all nodes together, without asking the platform and
// without a node that must be alive.
package baobabquota
