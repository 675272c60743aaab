package baobabcaller

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzRequestScanner guards against a scanner that sees another end of a request than net/http, so that bytes of a body
// or of another request would be handed on as a request. It also checks that the result does not depend on how the bytes
// arrive.
func FuzzRequestScanner(f *testing.F) {
	for _, s := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		var whole, parts requestScanner
		n := whole.scan(data)
		rest, m := data, 0
		step = min(max(step, 1), 64)
		for len(rest) > 0 && !parts.complete() {
			k := parts.scan(rest[:min(step, len(rest))])
			rest, m = rest[k:], m+k
		}
		if n != m || whole.state != parts.state || whole.simple() != parts.simple() {
			t.Fatalf("scan of %q: %d bytes in state %d at once, %d in state %d in parts", data, n, whole.state, m, parts.state)
		}
		if !whole.complete() {
			return
		}
		reader := bytes.NewReader(data)
		buffered := bufio.NewReaderSize(reader, 1<<16)
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return // The HTTP server closes the connection; a request of which it does not approve is not handed on either.
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if end := len(data) - reader.Len() - buffered.Buffered(); end != n {
			t.Fatalf("the request in %q ends at %d for the scanner and at %d for net/http", data, n, end)
		}
		if whole.simple() && (r.Body != http.NoBody || r.Close || len(r.TransferEncoding) > 0) {
			t.Fatalf("%q has a body or closes its connection", data[:n])
		}
	})
}

// TestRequestScannerOpaque guards against reading on behind a request whose end is in doubt.
func TestRequestScannerOpaque(t *testing.T) {
	tests := []struct {
		name, request     string
		opaque, ambiguous bool
	}{
		{"length and chunks", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", true, true},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", true, false},
		{"space before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n", true, false},
		{"folded field", "GET /a HTTP/1.1\r\nHost: h\r\n X: y\r\n\r\n", true, false},
		{"bare line end", "GET /a HTTP/1.1\r\nHost: h\n\r\n", true, false},
		{"two codings", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", true, false},
		{"signed length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n", true, false},
		{"extension of a chunk", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a\r\n", true, false},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, false},
	}
	for _, tt := range tests {
		var s requestScanner
		s.scan([]byte(tt.request))
		if s.opaque() != tt.opaque || s.ambiguous() != tt.ambiguous {
			t.Errorf("%s: opaque %v, ambiguous %v, want %v, %v", tt.name, s.opaque(), s.ambiguous(), tt.opaque, tt.ambiguous)
		}
	}
}
