// Package baobabresponse reads HTTP/1 responses more strictly than net/http, so that neither malformed bytes nor a part of a
// response pass for a whole response. It does not parse responses itself: it checks what http.Transport reads.
package baobabresponse
