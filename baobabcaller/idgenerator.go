package baobabcaller

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idGenerator generates call ids that are unique across nodes and restarts: a random prefix and a counter.
type idGenerator struct {
	prefix string
	last   atomic.Uint64
}

func newIDGenerator() *idGenerator {
	b := make([]byte, 8)
	rand.Read(b) // Never fails; see crypto/rand.
	return &idGenerator{prefix: hex.EncodeToString(b)}
}

func (i *idGenerator) next() string {
	return i.prefix + "-" + strconv.FormatUint(i.last.Add(1), 36)
}
