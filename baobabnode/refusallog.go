package baobabnode

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// refusalLogInterval is how long a refusal of the same cause and host is counted but not logged again.
	refusalLogInterval = time.Hour
	// maxRefusalCauses bounds the remembered causes, because hosts that are refused are not known in advance.
	maxRefusalCauses = 1024
)

// A refusalLog logs refused links and operators once per cause and host, so that a client that keeps trying does not
// fill the log. It is safe for concurrent use.
type refusalLog struct {
	now    func() time.Time
	logger *log.Logger

	mu     sync.Mutex
	logged map[string]time.Time // Guarded by mu; when a cause was logged last.
}

func newRefusalLog(now func() time.Time, logger *log.Logger) *refusalLog {
	return &refusalLog{now: now, logger: logger, logged: map[string]time.Time{}}
}

// link logs the refusal of a link between nodes because of its key or certificate.
func (l *refusalLog) link(address string, err error) {
	if l.due(l.now(), "link", address) {
		l.logger.Warn("link refused", "address", address, "err", err)
	}
}

// operator logs the refusal of an operator's request.
func (l *refusalLog) operator(cause, address string) {
	if l.due(l.now(), "operator "+cause, address) {
		l.logger.Warn("operator refused", "token", cause, "address", address)
	}
}

// due reports whether a cause at a host is to be logged now.
func (l *refusalLog) due(now time.Time, cause, address string) bool {
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	key := cause + " " + address
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.logged[key]; ok && now.Sub(at) < refusalLogInterval {
		return false
	}
	if len(l.logged) >= maxRefusalCauses {
		l.forget(now)
	}
	if len(l.logged) >= maxRefusalCauses {
		return false
	}
	l.logged[key] = now
	return true
}

// forget requires mu.
func (l *refusalLog) forget(now time.Time) {
	for key, at := range l.logged {
		if now.Sub(at) >= refusalLogInterval {
			delete(l.logged, key)
		}
	}
}
