package baobabcaller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields between callers and the mesh.
const (
	headerCallID         = "Baobab-Call-Id"
	headerCaller         = "Baobab-Caller"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Baobab-Outcome"
	headerRank           = "Baobab-Rank"
	headerRefusal        = "Baobab-Refusal"
	headerRetried        = "Baobab-Retried"
	headerTimeout        = "Baobab-Timeout-Ms"
)

// hopByHop lists the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// internalPrefix starts the names of fields that only the mesh sets, so that neither callers nor upstreams can forge
// them.
const internalPrefix = "baobab-"

// requestControl lists the request fields that a Call carries outside its header, and those that concern the
// reading of the body, which is complete.
var requestControl = []string{headerIdempotencyKey, "Content-Length", "Expect"}

// forwardable returns a copy of h without hop-by-hop fields, fields named by Connection, internal fields, and the
// fields in drop.
func forwardable(h http.Header, drop ...string) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		c.Del(name)
	}
	for _, name := range drop {
		c.Del(name)
	}
	for name := range c {
		if isInternal(name) {
			delete(c, name)
		}
	}
	return c
}

// isInternal reports whether only the mesh sets a field. Many upstreams take an underscore for a hyphen.
func isInternal(name string) bool {
	return strings.HasPrefix(strings.ReplaceAll(strings.ToLower(name), "_", "-"), internalPrefix)
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
