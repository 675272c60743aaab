package baobabupstream

import (
	"net/http/httptrace"
	"sync"
)

// An attempt observes which connection carries a request and whether any byte of it was sent.
type attempt struct {
	callID string

	mu     sync.Mutex
	conn   *connection
	before int64 // Bytes written on conn by earlier calls.
	reused bool
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, _ = info.Conn.(*connection)
	a.reused = info.Reused
	if a.conn != nil {
		a.before = a.conn.carry(a.callID)
	}
}

// sent seals the connection and reports whether any byte of the request may have been sent. It ends the use of the
// connection and is called only after a failure.
func (a *attempt) sent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	return a.conn.seal() > a.before
}

// crossed reports whether id names an earlier call on the same connection.
func (a *attempt) crossed(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return id != "" && id != a.callID && a.conn != nil && a.conn.carried(id)
}

func (a *attempt) onReusedConnection() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}
