package baobabquarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// successSlots is the number of requests whose last success is remembered. They take 16 bytes each.
const successSlots = 2048

// A Request identifies requests that an upstream would process in the same way, by a hash that costs less than a
// Fingerprint and may, rarely, be that of another request.
type Request uint64

// NewRequest returns the identification of a request. The target is the path with its query.
func NewRequest(service, method, target string, body []byte) Request {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Request(d.Sum64())
}

// successes remembers when requests last ran without a crash. A request may displace another one; those that run often
// are back at once.
type successes struct {
	mu    sync.Mutex
	slots [successSlots]success
}

// A success is the last run of a request without a crash.
type success struct {
	request Request
	at      int64 // Unix time in nanoseconds.
}

func (s *successes) record(at time.Time, r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots[r%successSlots] = success{request: r, at: at.UnixNano()}
}

// since reports whether the request has run without a crash since a time, as far as it is remembered.
func (s *successes) since(t time.Time, r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[r%successSlots]
	return slot.request == r && slot.at > t.UnixNano()
}
