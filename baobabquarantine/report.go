package baobabquarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// A Report describes a crash of an upstream while it ran a call.
type Report struct {
	fingerprint Fingerprint
	upstreamID  string
	callID      string
	crashedAt   time.Time // By the local clock.
}

// NewReport returns a report of a crash at a time of the local clock. Peers send the age of a crash instead of its
// time, so that clocks need not be synchronized.
func NewReport(f Fingerprint, upstreamID, callID string, at time.Time) Report {
	return Report{fingerprint: f, upstreamID: upstreamID, callID: callID, crashedAt: at}
}

// Fingerprint returns the fingerprint of the request.
func (r Report) Fingerprint() Fingerprint { return r.fingerprint }

// UpstreamID returns the id of the upstream that crashed.
func (r Report) UpstreamID() string { return r.upstreamID }

// CallID returns the id of the call that the upstream ran.
func (r Report) CallID() string { return r.callID }

// CrashedAt returns the time of the crash by the local clock.
func (r Report) CrashedAt() time.Time { return r.crashedAt }

// Age returns the time since the crash, at least 0.
func (r Report) Age(now time.Time) time.Duration { return max(0, now.Sub(r.crashedAt)) }

// sameCrash reports whether both reports describe the same crash. Their times may differ, because ages are rounded and
// reports take different times to arrive.
func (r Report) sameCrash(o Report) bool {
	return r.upstreamID == o.upstreamID && r.callID == o.callID
}

// hash returns a hash of the fields that identify a crash.
func (r Report) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(r.fingerprint[:])
	for _, part := range []string{r.upstreamID, r.callID} {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part)))) // The length prefix separates the parts.
		_, _ = h.Write([]byte(part))
	}
	return h.Sum64()
}

func compareReports(a, b Report) int {
	return cmp.Or(
		bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
		a.crashedAt.Compare(b.crashedAt),
		cmp.Compare(a.upstreamID, b.upstreamID),
		cmp.Compare(a.callID, b.callID),
	)
}
