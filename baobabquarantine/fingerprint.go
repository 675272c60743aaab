package baobabquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// A Fingerprint identifies requests that would run alike.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. The target is the path with its query: lookups that differ only
// in the query are different requests, and one that crashes upstreams must not get the others refused.
func NewFingerprint(service, method, target string, bodyDigest []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{service, method, target, string(bodyDigest)} {
		// The length keeps the parts apart.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return Fingerprint(h.Sum(nil))
}

// ParseFingerprint returns the fingerprint that a peer sent.
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
