package baobabupstream

import (
	"net/http/httptrace"
	"sync"
)

// A callAttempt observes which connection carries a request and whether any byte of it was sent.
type callAttempt struct {
	callID string

	mu            sync.Mutex
	conn          *connection
	writtenBefore int64 // Bytes written to conn by earlier calls.
	reused        bool
	requestSent   bool // The whole request was written.
}

func (a *callAttempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn, WroteRequest: a.wroteRequest}
}

func (a *callAttempt) wroteRequest(info httptrace.WroteRequestInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestSent = info.Err == nil
}

// answeredEarly reports whether the request has not been written completely.
func (a *callAttempt) answeredEarly() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.requestSent
}

func (a *callAttempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, _ = info.Conn.(*connection)
	a.reused = info.Reused
	if a.conn != nil {
		a.writtenBefore = a.conn.beginCall(a.callID)
	}
}

// stopWrites stops writes to the connection and reports whether any byte of the request may have been sent. The
// connection is unusable afterwards, so it is called only after a failure.
func (a *callAttempt) stopWrites() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	return a.conn.stopWrites() > a.writtenBefore
}

// isEarlierCall reports whether id names an earlier call on the same connection.
func (a *callAttempt) isEarlierCall(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return id != "" && id != a.callID && a.conn != nil && a.conn.servedRecently(id)
}

func (a *callAttempt) onReusedConnection() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}
