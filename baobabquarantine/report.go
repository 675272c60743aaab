package baobabquarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// A Report says that an upstream crashed while it ran a call.
type Report struct {
	fingerprint Fingerprint
	upstreamID  string
	callID      string
	at          time.Time // Local clock.
}

// NewReport returns a report of a crash. Peers send the age of a crash, so that clocks need not agree.
func NewReport(f Fingerprint, upstreamID, callID string, at time.Time) Report {
	return Report{fingerprint: f, upstreamID: upstreamID, callID: callID, at: at}
}

// Fingerprint returns the fingerprint of the request.
func (r Report) Fingerprint() Fingerprint { return r.fingerprint }

// UpstreamID returns the upstream that crashed.
func (r Report) UpstreamID() string { return r.upstreamID }

// CallID returns the call that it ran.
func (r Report) CallID() string { return r.callID }

// At returns when it crashed, by the local clock.
func (r Report) At() time.Time { return r.at }

// Age returns the time since the crash, at least 0.
func (r Report) Age(now time.Time) time.Duration { return max(0, now.Sub(r.at)) }

// sameCrash reports whether both reports are of one crash; reports of one crash may differ in time, because their
// ages are rounded and travel for different times.
func (r Report) sameCrash(o Report) bool {
	return r.upstreamID == o.upstreamID && r.callID == o.callID
}

// digest returns a hash of what makes a crash the same one.
func (r Report) digest() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(r.fingerprint[:])
	for _, part := range []string{r.upstreamID, r.callID} {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part)))) // The length keeps the parts apart.
		_, _ = h.Write([]byte(part))
	}
	return h.Sum64()
}

func compareReports(a, b Report) int {
	return cmp.Or(
		bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
		a.at.Compare(b.at),
		cmp.Compare(a.upstreamID, b.upstreamID),
		cmp.Compare(a.callID, b.callID),
	)
}
