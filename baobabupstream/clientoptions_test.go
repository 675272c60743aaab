package baobabupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// customHeaderNames returns header names other than the default ones.
func customHeaderNames() call.HeaderNames {
	return call.NewHeaderNames(map[call.HeaderField]string{
		call.FieldCallID: "X-Id", call.FieldNotStarted: "X-Not-Run", call.FieldTimeout: "X-Ms", call.FieldUpstreamID: "X-Target",
	}, call.FieldNotStarted)
}

// TestCustomHeaderNames guards against fields sent under their default names, against a call being run by another process
// at the address, and against accepting the answer to another call.
func TestCustomHeaderNames(t *testing.T) {
	var got http.Header
	answer := func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("X-Id", r.URL.Query().Get("id"))
		if r.Header.Get("X-Target") != "u1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/full" {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(answer))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := func(upstreamID string) *Client {
		c := NewClient(address, 4, WithHeaderNames(customHeaderNames()), WithUpstreamID(upstreamID), WithEchoedIDs())
		t.Cleanup(c.Close)
		return c
	}
	if _, err := readAnswer(t, doCall(t, client("u1"), newCall("c1", "GET", "/a?id=c1"))); err != nil {
		t.Fatal(err)
	}
	for name := range got {
		if strings.HasPrefix(name, "Baobab") {
			t.Errorf("field %s is sent", name)
		}
	}
	if got.Get("X-Id") != "c1" || got.Get("X-Ms") == "" {
		t.Errorf("header = %v", got)
	}
	if r, ok := doCall(t, client("u2"), newCall("c1", "GET", "/a?id=c1")).(Refused); !ok {
		t.Errorf("another process at the address: %T, want Refused", r)
	}
	if r, ok := doCall(t, client("u1"), newCall("c1", "GET", "/full?id=c1")).(Refused); !ok {
		t.Errorf("not run with 429: %T, want Refused", r)
	}
	if r, ok := doCall(t, client("u1"), newCall("c1", "GET", "/a?id=c2")).(ConnectionFailed); !ok {
		t.Errorf("answer with another id: %T, want ConnectionFailed", r)
	}
}

// TestCloseDelimited guards against rejecting an answer without a length whose connection was closed normally, and against
// accepting one whose connection was reset.
func TestCloseDelimited(t *testing.T) {
	for _, reset := range []bool{false, true} {
		u := startRawUpstream(t, func(_ *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		})
		c := NewClient(u.address, 4, WithCloseDelimited())
		r := doCall(t, c, newCall("c1", "GET", "/"))
		c.Close()
		if _, failed := r.(ConnectionFailed); failed && reset {
			continue
		}
		body, err := readAnswer(t, r)
		if reset == (err == nil) || !reset && body != "whole" {
			t.Errorf("reset %t: body %q, %v", reset, body, err)
		}
	}
}

// TestSecondCopyOfAnswer guards against the late second copy of an answer, whole or in part, with or without an id, that is
// taken for the answer to the next call on its connection. The upstream sends it after it has read the next call.
func TestSecondCopyOfAnswer(t *testing.T) {
	tests := []struct {
		name   string
		withID bool
		keep   int // Percent of the copy that is sent.
		status string
	}{
		{"whole", true, 100, "200 OK"},
		{"whole, without an id", false, 100, "200 OK"},
		{"half", true, 50, "200 OK"},
		{"half, without an id", false, 50, "200 OK"},
		{"refusal, without an id", false, 100, "429 Too Many Requests"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := startRawUpstream(t, func(u *rawUpstream, n int, conn net.Conn, r *bufio.Reader) {
				second := ""
				for {
					request, ok := u.readRequest(r)
					if !ok {
						return
					}
					id := request.Header.Get("X-Id")
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
					if n == 0 {
						_, _ = io.WriteString(conn, second)
					}
					_, _ = io.WriteString(conn, answer)
					second = fmt.Sprintf("HTTP/1.1 %s\r\nX-Not-Run: 1\r\nContent-Length: %d\r\n", tt.status, len(id))
					if tt.withID {
						second += "X-Id: " + id + "\r\n"
					}
					second += "\r\n" + id
					second = second[:len(second)*tt.keep/100]
				}
			})
			c := NewClient(u.address, 2, WithHeaderNames(customHeaderNames()), WithEchoedIDs())
			t.Cleanup(c.Close)
			for i := range 4 {
				id := fmt.Sprint("c", i)
				r := doCall(t, c, newCall(id, "POST", "/"))
				if _, failed := r.(ConnectionFailed); failed && i == 1 {
					continue
				}
				if got, err := readAnswer(t, r); got != id || err != nil {
					t.Errorf("call %s got %q, %v", id, got, err)
				}
			}
		})
	}
}
