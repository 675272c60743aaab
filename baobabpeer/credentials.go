package baobabpeer

import (
	"context"
	"errors"
	"net"
)

// errAuthFailed means that the peer does not hold valid credentials.
var errAuthFailed = errors.New("authentication failed")

// Credentials authenticate both ends of a link before it carries streams. The implementations are SharedKey,
// Certificates and Unauthenticated.
type Credentials interface {
	// clientHandshake authenticates a dialled connection and returns the connection to use.
	clientHandshake(ctx context.Context, c net.Conn) (net.Conn, error)
	// serverHandshake authenticates an accepted connection and returns the connection to use.
	serverHandshake(ctx context.Context, c net.Conn) (net.Conn, error)
}
