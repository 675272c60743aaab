package baobabclaim

import (
	"crypto/sha256"
	"encoding/binary"
)

// A Digest identifies the content of a request.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a request. It excludes header fields, because they may differ when a caller repeats a
// request.
func NewDigest(method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		// The length prefix keeps different splits into parts from having the same digest.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}
