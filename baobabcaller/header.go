package baobabcaller

import (
	"net/http"
	"net/textproto"
	"strings"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// hopByHopFields lists the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// forwardableHeader returns a copy of header without hop-by-hop fields, fields named by Connection, internal fields, and
// the fields in drop.
func (h *Handler) forwardableHeader(header http.Header, drop ...string) http.Header {
	c := header.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, v := range header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(c, name)
	}
	for _, name := range drop {
		delete(c, name)
	}
	for name := range c {
		if h.headerNames.IsInternal(name) {
			delete(c, name)
		}
	}
	return c
}

// setField sets a header field if it has a name.
func (h *Handler) setField(header http.Header, field call.HeaderField, value string) {
	if name := h.headerNames.Name(field); name != "" {
		header[name] = []string{value}
	}
}

// headerBytes returns the encoded size of h in HTTP/1.1.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
