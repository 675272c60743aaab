// Package baobabnode implements the node, the process on each upstream VM. It connects the controllers for ingress,
// admission, configuration, membership, quarantine and status through the blackboard.
package baobabnode
