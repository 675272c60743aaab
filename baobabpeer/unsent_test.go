//go:build linux

package baobabpeer

import (
	"net"
	"syscall"
	"testing"
)

// TestLimitUnsent guards against a connection that takes a long body into its buffer, where short messages wait behind
// it. Nothing is received, and each write that would block ends the count.
func TestLimitUnsent(t *testing.T) {
	taken := func(limit int) int {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		tcp := c.(*net.TCPConn)
		_ = tcp.SetWriteBuffer(4 << 20)
		if err := limitUnsent(c, limit); err != nil {
			t.Fatal(err)
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		total, part := 0, make([]byte, 8<<10)
		_ = raw.Write(func(fd uintptr) bool {
			for {
				n, err := syscall.Write(int(fd), part)
				if err != nil {
					return true
				}
				total += n
			}
		})
		return total
	}
	unlimited, limited := taken(0), taken(16<<10)
	t.Logf("%d bytes taken without a limit, %d with", unlimited, limited)
	if limited >= unlimited {
		t.Errorf("%d bytes taken with the limit, %d without", limited, unlimited)
	}
}
