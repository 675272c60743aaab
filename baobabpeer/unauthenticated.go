package baobabpeer

import (
	"context"
	"net"
)

// Unauthenticated accepts every process that can reach a node's peer address as a node. It is meant for networks that
// only the nodes can reach and that offer no way to distribute a secret.
type Unauthenticated struct{}

func (Unauthenticated) clientHandshake(_ context.Context, c net.Conn) (net.Conn, error) {
	return c, nil
}

func (Unauthenticated) serverHandshake(_ context.Context, c net.Conn) (net.Conn, error) {
	return c, nil
}
