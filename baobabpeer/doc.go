// Package baobabpeer carries messages and bodies between nodes over authenticated, pooled links.
//
// A link is one TCP connection that is authenticated by a shared key or by TLS certificates and multiplexed with
// yamux. The dialling side opens streams; the accepting side serves them. A stream is a sequence of frames. Each frame
// consists of one type byte, a 4-byte big-endian payload length and the payload.
package baobabpeer
