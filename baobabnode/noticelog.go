package baobabnode

import (
	"sync"

	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// A noticeLog holds the last notice of the local upstream. It is safe for concurrent use.
type noticeLog struct {
	mu         sync.Mutex
	upstreamID string
	notice     upstream.Notice // Of the upstream with upstreamID.
}

// replace replaces the notice and reports whether it differs from the last one of the upstream.
func (l *noticeLog) replace(upstreamID string, n upstream.Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last upstream.Notice
	if l.upstreamID == upstreamID {
		last = l.notice
	}
	l.upstreamID, l.notice = upstreamID, n
	return n != last
}

// requestLimit returns the limit in the last notice, or 0 without one.
func (l *noticeLog) requestLimit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, _ := l.notice.RequestLimit()
	return limit
}
