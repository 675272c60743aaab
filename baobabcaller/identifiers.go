package baobabcaller

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// identifiers makes call ids that are unique across nodes and restarts: a random prefix and a counter.
type identifiers struct {
	prefix string
	last   atomic.Uint64
}

func newIdentifiers() *identifiers {
	b := make([]byte, 8)
	rand.Read(b) // Never fails; see crypto/rand.
	return &identifiers{prefix: hex.EncodeToString(b)}
}

func (i *identifiers) next() string {
	return i.prefix + "-" + strconv.FormatUint(i.last.Add(1), 36)
}
