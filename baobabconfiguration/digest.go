package baobabconfiguration

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// A Digest is the SHA-256 over the kind, name and canonical text of all resources of a document, sorted. The
// zero value is no digest.
type Digest [sha256.Size]byte

// NewDigest returns the digest with the bytes.
func NewDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return Digest{}, newError("read digest", ErrorInvalid, errors.Errorf("%d bytes, want %d", len(b), len(d)))
	}
	copy(d[:], b)
	return d, nil
}

// ParseDigest returns the digest with the hexadecimal text.
func ParseDigest(text string) (Digest, error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, newError("parse digest", ErrorInvalid, err)
	}
	return NewDigest(b)
}

// Bytes returns a copy of the bytes.
func (d Digest) Bytes() []byte { return append([]byte(nil), d[:]...) }

// IsZero reports whether there is no digest.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the hexadecimal text.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	v, err := ParseDigest(string(b))
	if err != nil {
		return err
	}
	*d = v
	return nil
}

// digestOf returns the digest of sorted resources. Each part is preceded by its length, so parts cannot shift.
func digestOf(resources []Resource) Digest {
	h := sha256.New()
	var size [8]byte
	var part []byte
	for _, r := range resources {
		for _, s := range [2]string{string(r.Kind()), r.Name()} {
			binary.BigEndian.PutUint64(size[:], uint64(len(s)))
			part = append(append(part[:0], size[:]...), s...)
			h.Write(part)
		}
		binary.BigEndian.PutUint64(size[:], uint64(len(r.Text())))
		h.Write(size[:])
		h.Write(r.Text())
	}
	var d Digest
	h.Sum(d[:0])
	return d
}
