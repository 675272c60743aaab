package baobabconfiguration

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// A Digest is the SHA-256 hash of the kind, name and canonical text of all resources of a document, sorted by kind and
// name. The zero value stands for no digest.
type Digest [sha256.Size]byte

// NewDigest returns the digest with the bytes, which must be 32.
func NewDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return Digest{}, newError("read digest", ErrorInvalid, errors.Errorf("%d bytes, want %d", len(b), len(d)))
	}
	copy(d[:], b)
	return d, nil
}

// ParseDigest parses the hexadecimal form of a digest.
func ParseDigest(text string) (Digest, error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, newError("parse digest", ErrorInvalid, err)
	}
	return NewDigest(b)
}

// Bytes returns a copy of the bytes.
func (d Digest) Bytes() []byte { return append([]byte(nil), d[:]...) }

// IsZero reports whether d is the zero value, which stands for no digest.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the hexadecimal form.
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

// computeDigest returns the digest of sorted resources. Each part is prefixed with its length, so that different
// resources cannot yield the same input.
func computeDigest(resources []Resource) Digest {
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
