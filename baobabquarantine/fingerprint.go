package baobabquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

// A Fingerprint identifies requests that would run alike.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. The query of the target is left out, because clients put
// values there that differ between two sendings of one request.
func NewFingerprint(service, method, target string, bodyDigest []byte) Fingerprint {
	path, _, _ := strings.Cut(target, "?")
	h := sha256.New()
	for _, part := range []string{service, method, path, string(bodyDigest)} {
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
