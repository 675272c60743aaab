package baobabcaller

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCloseReadIfIdle guards against closing a connection as idle while a request is being read on it, so that the
// request runs and its caller gets no answer. The HTTP server reports the connection as active only after the read.
func TestCloseReadIfIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, reads := range []bool{true, false} {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn := &countingConn{TCPConn: accepted.(*net.TCPConn)}
		c := newConnTracker()
		since := time.Now()
		c.track(since, conn, http.StateIdle)
		if _, err := client.Write([]byte("GET")); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 8)
		if reads {
			if n, err := conn.Read(b); n != 3 || err != nil {
				t.Fatalf("Read() = %d, %v", n, err)
			}
		}
		c.closeIdle(since.Add(time.Second), quietPeriod)
		_, _ = client.Write([]byte(" / ")) // Fails where the connection is closed.
		n, err := conn.Read(b)
		if reads && (n == 0 || err != nil) {
			t.Errorf("connection closed while a request was being read: %v", err)
		}
		if !reads && n > 0 {
			t.Errorf("%d bytes of a request read on a connection that was closed as idle", n)
		}
		_ = client.Close()
		_ = accepted.Close()
	}
}
