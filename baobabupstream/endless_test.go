package baobabupstream

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endlessLimitBytes is how much a client may take of an answer that never ends before it closes the connection, with what
// the kernel holds for both sides.
const endlessLimitBytes = 16 << 20

// TestEndlessBytes guards against an upstream that sends bytes without end, in place of an answer or within one, fast or
// one at a time: the call must end by its deadline with the outcome that is true, the connection must be closed, and the
// node's memory must stay bounded.
func TestEndlessBytes(t *testing.T) {
	const deadline = 500 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, start, repeated string
		slow                  bool // One byte at a time.
		refused               bool // The head states that the call was not started.
		answered              bool // The head is that of an answer, so that only the body can fail.
	}{
		{name: "bytes that are no answer", repeated: "\x00\x01\x02garbage"},
		{name: "status line", start: "HTTP/1.1 200 ", repeated: "x"},
		{name: "status line, slow", start: "HTTP/1.1 200 ", repeated: "x", slow: true},
		{name: "one header line", start: "HTTP/1.1 200 OK\r\nA: ", repeated: "x"},
		{name: "header lines", start: "HTTP/1.1 200 OK\r\n", repeated: "A: x\r\n"},
		{name: "header lines, slow", start: "HTTP/1.1 200 OK\r\n", repeated: "A: x\r\n", slow: true},
		{name: "1xx responses", repeated: "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
		{name: "100 responses, slow", repeated: "HTTP/1.1 100 Continue\r\n\r\n", slow: true},
		{name: "chunks", start: head, repeated: "1\r\nx\r\n", answered: true},
		{name: "chunks, slow", start: head, repeated: "1\r\nx\r\n", slow: true, answered: true},
		{name: "chunk extension", start: head + "1;", repeated: "x", answered: true},
		{name: "chunk size", start: head, repeated: "0", answered: true},
		{name: "trailers", start: head + "0\r\n", repeated: "A: x\r\n", answered: true},
		{name: "one trailer, slow", start: head + "0\r\nA: ", repeated: "x", slow: true, answered: true},
		{name: "body without length", start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x", answered: true},
		{name: "body of a refusal", start: "HTTP/1.1 503 Service Unavailable\r\nBaobab-Not-Started: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
			repeated: "1\r\nx\r\n", refused: true},
		{name: "body of a refusal, slow", start: "HTTP/1.1 503 Service Unavailable\r\nBaobab-Not-Started: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
			repeated: "1\r\nx\r\n", slow: true, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int64, 1)
			u := startRawUpstream(t, func(u *rawUpstream, n int, conn net.Conn, r *bufio.Reader) {
				if n > 0 {
					return
				}
				u.readRequest(r)
				closed <- sendEndlessly(conn, tt.start, tt.repeated, tt.slow)
			})
			c := u.client(t)
			now := time.Now()
			result := c.Do(t.Context(), now, newCall("c", "POST", "/"), now.Add(deadline))
			switch r := result.(type) {
			case *Answered:
				if !tt.answered {
					t.Errorf("result = Answered, status %d", r.Answer().Status())
				}
				n, err := io.Copy(io.Discard, r.Answer().Body())
				if err == nil {
					t.Errorf("an endless body was complete after %d bytes", n)
				}
				_ = r.Answer().Body().Close()
			case Refused:
				if !tt.refused {
					t.Error("result = Refused")
				}
				// A call that is known not to run is refused at once, however slowly the rest of the refusal comes.
				if took := time.Since(now); took >= deadline {
					t.Errorf("refused after %v, at the deadline", took)
				}
			case ConnectionFailed, DeadlineExceeded:
				if tt.refused {
					t.Errorf("result = %T, want Refused", r)
				}
			default:
				t.Errorf("result = %T %+v", r, r)
			}
			select {
			case n := <-closed:
				if n > endlessLimitBytes && !tt.answered {
					t.Errorf("%d bytes were taken", n)
				}
			case <-time.After(20 * time.Second):
				t.Error("the connection is still open long after the deadline")
			}
		})
	}
}

// sendEndlessly sends start and then repeated without end, and returns the bytes sent until the peer closed.
func sendEndlessly(conn net.Conn, start, repeated string, slow bool) int64 {
	n, err := io.WriteString(conn, start)
	sent := int64(n)
	block := strings.Repeat(repeated, max(1, (16<<10)/len(repeated)))
	for i := 0; err == nil; i++ {
		part := block
		if slow {
			part = repeated[i%len(repeated) : i%len(repeated)+1]
			time.Sleep(time.Millisecond)
		}
		n, err = io.WriteString(conn, part)
		sent += int64(n)
	}
	return sent
}

// TestEndlessHealthCheck guards against a health check that takes memory or time without end.
func TestEndlessHealthCheck(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"} {
		closed := make(chan int64, 16)
		u := startRawUpstream(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			closed <- sendEndlessly(conn, start, "A: x\r\n", false)
		})
		results := make(chan ProbeResult, 1)
		p := NewProber(u.address, func(r ProbeResult) {
			select {
			case results <- r:
			default:
			}
		}, WithProbeInterval(time.Hour), WithProbeTimeout(10*time.Second))
		before := memoryInUse()
		<-results
		if n := <-closed; n > endlessLimitBytes {
			t.Errorf("a health check took %d bytes of %q", n, start)
		}
		if grown := memoryInUse() - before; grown > 4<<20 {
			t.Errorf("a health check took %d bytes of memory", grown)
		}
		p.Stop()
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
