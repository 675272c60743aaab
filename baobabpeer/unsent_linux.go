package baobabpeer

import (
	"net"
	"syscall"
)

// tcpNotSentLowat is TCP_NOTSENT_LOWAT, which the syscall package does not have.
const tcpNotSentLowat = 25

// limitUnsent limits the bytes that wait in the connection's buffer for the network. The buffer otherwise grows to
// megabytes, and a short message waits there behind all of a long body. Connections that are not TCP have no limit.
func limitUnsent(c net.Conn, bytes int) error {
	t, ok := c.(*net.TCPConn)
	if !ok || bytes <= 0 {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return newError("limit unsent bytes", KindUnreachable, err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, bytes)
	}); err != nil {
		return newError("limit unsent bytes", KindUnreachable, err)
	}
	if optionErr != nil {
		return newError("limit unsent bytes", KindUnreachable, optionErr)
	}
	return nil
}
