package baobabconfiguration

import "fmt"

// A Version identifies an accepted configuration. Each accept increases the number by one, and each number has only one
// digest. The zero value precedes every version.
type Version struct {
	number uint64
	digest Digest
}

// NewVersion returns a version.
func NewVersion(number uint64, digest Digest) Version { return Version{number: number, digest: digest} }

// Number returns the number.
func (v Version) Number() uint64 { return v.number }

// Digest returns the digest of the document.
func (v Version) Digest() Digest { return v.digest }

// Newer reports whether v has a higher number than other.
func (v Version) Newer(other Version) bool { return v.number > other.number }

// String returns the number and the first 6 bytes of the digest in hexadecimal.
func (v Version) String() string { return fmt.Sprintf("%d-%x", v.number, v.digest[:6]) }
