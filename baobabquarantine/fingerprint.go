package baobabquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// A Fingerprint identifies requests that an upstream would process in the same way.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. The target is the path with its query. Requests that differ only
// in the query have different fingerprints, so that one that crashes upstreams does not cause refusals of the others.
func NewFingerprint(service, method, target string, bodyDigest []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{service, method, target, string(bodyDigest)} {
		// The length prefix separates the parts.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return Fingerprint(h.Sum(nil))
}

// ParseFingerprint decodes a fingerprint received from a peer. It returns an error unless b has exactly 32 bytes.
func ParseFingerprint(b []byte) (Fingerprint, error) {
	if len(b) != len(Fingerprint{}) {
		return Fingerprint{}, fmt.Errorf("quarantine: fingerprint has %d bytes, want %d", len(b), len(Fingerprint{}))
	}
	return Fingerprint(b), nil
}

// String returns the hexadecimal form.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Bytes returns the form that is sent to peers.
func (f Fingerprint) Bytes() []byte { return f[:] }
