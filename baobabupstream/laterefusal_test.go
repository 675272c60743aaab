package baobabupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
)

// TestLateRefusal guards against an earlier refusal that an upstream writes once more on a kept connection and that is taken for the
// refusal of the next call, which the upstream runs.
func TestLateRefusal(t *testing.T) {
	tests := []struct {
		name      string
		status    string
		withID    bool
		afterNext bool // The copy comes after the upstream has read the next call, else right after the refusal.
	}{
		{"503, then the next call", "503 Service Unavailable", true, false},
		{"503 without an id, then the next call", "503 Service Unavailable", false, false},
		{"503 while the next call runs", "503 Service Unavailable", true, true},
		{"503 without an id while the next call runs", "503 Service Unavailable", false, true},
		{"429 while the next call runs", "429 Too Many Requests", true, true},
		{"421 while the next call runs", "421 Misdirected Request", true, true},
		{"421 without an id while the next call runs", "421 Misdirected Request", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			ran := map[string]int{}
			u := startRawUpstream(t, func(u *rawUpstream, n int, conn net.Conn, r *bufio.Reader) {
				refusal := ""
				for i := 0; ; i++ {
					request, ok := u.readRequest(r)
					if !ok {
						return
					}
					id := request.Header.Get("X-Id")
					if n == 0 && i == 0 {
						refusal = fmt.Sprintf("HTTP/1.1 %s\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n", tt.status)
						_, _ = io.WriteString(conn, refusal+"X-Id: "+id+"\r\n\r\nno")
						if tt.withID {
							refusal += "X-Id: " + id + "\r\n"
						}
						refusal += "\r\nno"
						if !tt.afterNext {
							_, _ = io.WriteString(conn, refusal)
							refusal = ""
						}
						continue
					}
					mu.Lock()
					ran[id]++
					mu.Unlock()
					_, _ = io.WriteString(conn, refusal)
					refusal = ""
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
				}
			})
			c := NewClient(u.address, 2, WithHeaderNames(customHeaderNames()), WithEchoedIDs(), WithUpstreamID("u1"))
			t.Cleanup(c.Close)
			for i := range 4 {
				id := fmt.Sprint("c", i)
				r := doCall(t, c, newCall(id, "POST", "/"))
				switch r := r.(type) {
				case Refused:
					mu.Lock()
					if ran[id] > 0 || i > 0 {
						t.Errorf("call %s is refused as not run, it ran %d times", id, ran[id])
					}
					mu.Unlock()
				case ConnectionFailed:
					if i != 1 {
						t.Errorf("call %s: %v", id, r.Err())
					}
				default:
					if got, err := readAnswer(t, r); got != id || err != nil {
						t.Errorf("call %s got %q, %v", id, got, err)
					}
				}
			}
			for id, n := range ran {
				if n > 1 {
					t.Errorf("call %s ran %d times", id, n)
				}
			}
		})
	}
}
