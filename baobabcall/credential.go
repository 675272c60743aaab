package baobabcall

import (
	"crypto/sha256"
	"net/http"
	"strings"
)

// maxKeyBytes is the maximum size of a key.
const maxKeyBytes = 256

// A Credential is the key that a caller presented, as a digest, so that the key itself is neither kept nor logged. The
// zero value means that the caller presented none.
type Credential struct {
	digest    [sha256.Size]byte
	presented bool
	valid     bool
}

// NewCredential returns the credential for a key.
func NewCredential(key string) Credential {
	return Credential{digest: sha256.Sum256([]byte(key)), presented: true, valid: true}
}

// InvalidCredential returns the credential of a caller that presented something that is not a key.
func InvalidCredential() Credential { return Credential{presented: true} }

// ReadCredential returns the credential in a header field, which must have one value "Bearer KEY" with a key of at most 256
// bytes. Other values give an invalid credential, and a missing field or an empty name the zero value.
func ReadCredential(header http.Header, field string) Credential {
	values := header[field]
	if field == "" || len(values) == 0 {
		return Credential{}
	}
	const scheme = "Bearer "
	if len(values) > 1 || len(values[0]) < len(scheme) || !strings.EqualFold(values[0][:len(scheme)], scheme) {
		return InvalidCredential()
	}
	key := strings.TrimLeft(values[0][len(scheme):], " ")
	if key == "" || len(key) > maxKeyBytes {
		return InvalidCredential()
	}
	return NewCredential(key)
}

// Presented reports whether the caller presented anything as a key.
func (c Credential) Presented() bool { return c.presented }

// Digest returns the SHA-256 digest of the key, and whether the caller presented a well-formed key.
func (c Credential) Digest() ([sha256.Size]byte, bool) { return c.digest, c.valid }
