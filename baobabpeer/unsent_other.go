//go:build !linux

package baobabpeer

import "net"

// limitUnsent does nothing where the operating system has no such limit.
func limitUnsent(net.Conn, int) error { return nil }
