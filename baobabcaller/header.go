package baobabcaller

import (
	"net/http"
	"net/textproto"
	"strings"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// hopByHop lists the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of h without hop-by-hop fields, fields named by Connection, fields that only the mesh
// sets, and the fields in drop.
func (h *Handler) forwardable(header http.Header, drop ...string) http.Header {
	c := header.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, v := range header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(c, name)
	}
	for _, name := range drop {
		delete(c, name)
	}
	for name := range c {
		if h.fields.Internal(name) {
			delete(c, name)
		}
	}
	return c
}

// setField sets a header field that has a name.
func (h *Handler) setField(header http.Header, field call.Field, value string) {
	if name := h.fields.Name(field); name != "" {
		header[name] = []string{value}
	}
}

// headerBytes returns the size of h as sent.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
