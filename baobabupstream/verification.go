package baobabupstream

import "time"

// A verification decides which processes of an upstream are known to be up. The registry guards it.
type verification struct {
	until    time.Time     // Processes that are first announced later need no verification.
	wanted   chan struct{} // Receives a value when a process has to be verified.
	verified Announcement  // Of the verified process; zero: none. Without a start it stands for any process with its id.
	first    Announcement  // First one of the process that is to be verified.
	firstAt  time.Time
}

func newVerification() *verification { return &verification{wanted: make(chan struct{}, 1)} }

// covers reports whether the process that sent an announcement is verified or needs no verification.
func (v *verification) covers(a Announcement) bool {
	if v.until.IsZero() {
		return true
	}
	return a.upstreamID == v.verified.upstreamID && (v.verified.startedAt.IsZero() || isSameStart(a, v.verified))
}

func isSameStart(a, b Announcement) bool {
	return a.startedAt.Sub(b.startedAt).Abs() <= startTolerance(a)
}

// observe takes note of an accepted announcement and reports whether it verifies its process. A process is verified if it has
// announced itself for a period that is longer than announcements are late.
func (v *verification) observe(now time.Time, a Announcement, period time.Duration) bool {
	if v.covers(a) {
		if !v.until.IsZero() {
			v.accept(a) // The start may have been unknown.
		}
		return false
	}
	if a.verified || now.After(v.until) {
		v.accept(a)
		return true
	}
	if a.upstreamID != v.first.upstreamID || !isSameStart(a, v.first) {
		v.first, v.firstAt = a, now
	} else if now.Sub(v.firstAt) >= period {
		v.accept(a)
		return true
	}
	select {
	case v.wanted <- struct{}{}:
	default:
	}
	return false
}

func (v *verification) accept(a Announcement) { v.verified = a }
