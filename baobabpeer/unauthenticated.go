package baobabpeer

import (
	"context"
	"net"
)

// Unauthenticated links trust the network: every process that reaches a node's peer address is taken for a node. It is
// meant for networks that only the nodes can reach and that offer no way to hand out a secret.
type Unauthenticated struct{}

func (Unauthenticated) dialled(_ context.Context, c net.Conn) (net.Conn, error) { return c, nil }

func (Unauthenticated) accepted(_ context.Context, c net.Conn) (net.Conn, error) { return c, nil }
