package baobabquarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"strconv"
	"time"
)

// A Report describes a crash of an upstream while it ran a call.
type Report struct {
	fingerprint Fingerprint
	upstreamID  string
	callID      string
	crash       uint64    // Identifies the crash of the upstream; 0: each call counts as a crash of its own.
	crashedAt   time.Time // By the local clock.
	succeeded   bool      // The request had run without a crash on that upstream shortly before.
}

// NewReport returns a report of a crash at a time of the local clock. Peers send the age of a crash instead of its
// time, so that clocks need not be synchronized.
func NewReport(f Fingerprint, upstreamID, callID string, at time.Time) Report {
	return Report{fingerprint: f, upstreamID: upstreamID, callID: callID, crashedAt: at}
}

// WithCrash returns the report with the id of the crash. All calls that an upstream ran at one crash have the same.
func (r Report) WithCrash(id uint64) Report {
	r.crash = id
	return r
}

// WithSucceeded returns the report of a request that had run without a crash on that upstream shortly before.
func (r Report) WithSucceeded(succeeded bool) Report {
	r.succeeded = succeeded
	return r
}

// Succeeded reports whether the request had run without a crash on that upstream shortly before.
func (r Report) Succeeded() bool { return r.succeeded }

// Crash returns the id of the crash, or 0.
func (r Report) Crash() uint64 { return r.crash }

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

// sameCrash reports whether both reports describe the same crash, also if the upstream ran several equal requests. Their
// times may differ, because ages are rounded and reports take different times to arrive.
func (r Report) sameCrash(o Report) bool {
	return r.upstreamID == o.upstreamID && (r.callID == o.callID || r.crash != 0 && r.crash == o.crash)
}

// mergeCrash takes over the id of the crash from another report of it. The lower id wins, so that all nodes keep the same.
func (r *Report) mergeCrash(o Report) {
	r.succeeded = r.succeeded || o.succeeded
	if o.crash != 0 && (r.crash == 0 || o.crash < r.crash) {
		r.crash = o.crash
	}
}

// hash returns a hash of the fields that identify a crash.
func (r Report) hash() uint64 {
	crash := r.callID
	if r.crash != 0 {
		crash = strconv.FormatUint(r.crash, 36)
	}
	h := fnv.New64a()
	_, _ = h.Write(r.fingerprint[:])
	for _, part := range []string{r.upstreamID, crash} {
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
