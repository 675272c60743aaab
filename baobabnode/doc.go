// Package baobabnode is the process on each upstream VM. It wires the controllers to the blackboard: ingress,
// admission, configuration, membership, quarantine and status.
package baobabnode
