package baobabupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestBrokenHead guards against an answer whose head ends in the middle, at any byte, that is passed on as complete.
func TestBrokenHead(t *testing.T) {
	heads := []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: c1\r\nContent-Length: 5\r\nX-Stamp: 1\r\n\r\n"},
		{"empty body", "HTTP/1.1 200 OK\r\nX-Id: c1\r\nContent-Length: 0\r\nX-Stamp: 1\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: c1\r\nTransfer-Encoding: chunked\r\nX-Stamp: 1\r\n\r\n"},
		{"no length", "HTTP/1.1 200 OK\r\nX-Id: c1\r\nX-Stamp: 1\r\n\r\n"},
		{"folded field", "HTTP/1.1 200 OK\r\nX-Id: c1\r\nX-Stamp: 1\r\n \t 2\r\nContent-Length: 0\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nX-Id: c1\nContent-Length: 0\nX-Stamp: 1\n\n"},
	}
	for _, h := range heads {
		for _, warm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused connection %t", h.name, warm), func(t *testing.T) {
				var cut atomic.Int64
				u := startRawUpstream(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
					for {
						request, ok := u.readRequest(r)
						if !ok {
							return
						}
						if request.URL.Path == "/warm" {
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: c0\r\nContent-Length: 0\r\n\r\n")
							continue
						}
						_, _ = io.WriteString(conn, h.head[:cut.Load()])
						return
					}
				})
				for n := range len(h.head) {
					cut.Store(int64(n))
					c := NewClient(u.address, 2, WithHeaderNames(customHeaderNames()), WithEchoedIDs(), WithCloseDelimited())
					if warm {
						if _, err := readAnswer(t, doCall(t, c, newCall("c0", http.MethodGet, "/warm"))); err != nil {
							t.Fatal(err)
						}
					}
					if r := doCall(t, c, newCall("c1", http.MethodPost, "/")); !isConnectionFailed(r) {
						t.Errorf("head cut after %d bytes, %q: %T, want ConnectionFailed", n, h.head[:n], r)
					}
					c.Close()
				}
			})
		}
	}
}

func isConnectionFailed(r Result) bool {
	_, ok := r.(ConnectionFailed)
	return ok
}
