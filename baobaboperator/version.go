package baobaboperator

import "fmt"

// A Version identifies a configuration version. It is a wire format.
type Version struct {
	Number uint64 `json:"number"` // 0 means no version.
	Digest string `json:"digest"` // Hexadecimal.
}

// String returns the number and the first characters of the digest.
func (v Version) String() string {
	if v.Number == 0 {
		return "none"
	}
	if v.Digest == "" {
		return fmt.Sprint(v.Number)
	}
	return fmt.Sprintf("%d (%.12s)", v.Number, v.Digest)
}
