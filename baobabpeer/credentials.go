package baobabpeer

import (
	"context"
	"errors"
	"net"
)

// errWrongProof means that the other side does not hold the credentials.
var errWrongProof = errors.New("wrong proof")

// Credentials authenticate both ends of a link before it carries streams: SharedKey, Certificates or
// Unauthenticated.
type Credentials interface {
	// dialled authenticates an outbound connection and returns the connection to use.
	dialled(ctx context.Context, c net.Conn) (net.Conn, error)
	// accepted authenticates an inbound connection and returns the connection to use.
	accepted(ctx context.Context, c net.Conn) (net.Conn, error)
}
