package baobabnode

import (
	"sync"

	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

// A noticeLog holds the last notice of the local upstream. It is safe for concurrent use.
type noticeLog struct {
	mu     sync.Mutex
	client *upstream.Client // Of the process that gave the notice; nil before the first one.
	notice upstream.Notice
}

// replace replaces the notice and reports whether it differs from the last one of the process with the client.
func (l *noticeLog) replace(client *upstream.Client, n upstream.Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last upstream.Notice
	if l.client == client {
		last = l.notice
	}
	l.client, l.notice = client, n
	return n != last
}

// requestLimit returns the limit in the last notice, or 0 without one.
func (l *noticeLog) requestLimit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, _ := l.notice.RequestLimit()
	return limit
}
