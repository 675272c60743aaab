package baobabnode

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// refusalLogInterval is how long repeated refusals with the same cause and host are not logged again.
	refusalLogInterval = time.Hour
	// maxRefusalCauses bounds the number of remembered causes, because the number of refused hosts is unlimited.
	maxRefusalCauses = 1024
)

// A refusalLog logs refused links and operator requests at most once per refusalLogInterval, cause and host, so that a
// client that keeps trying does not fill the log. It is safe for concurrent use.
type refusalLog struct {
	now    func() time.Time
	logger *log.Logger

	mu         sync.Mutex
	lastLogged map[string]time.Time // Guarded by mu; when each cause was last logged.
}

func newRefusalLog(now func() time.Time, logger *log.Logger) *refusalLog {
	return &refusalLog{now: now, logger: logger, lastLogged: map[string]time.Time{}}
}

// linkRefused logs that a link between nodes was refused because of its key or certificate.
func (l *refusalLog) linkRefused(address string, err error) {
	if l.shouldLog(l.now(), "link", address) {
		l.logger.Warn("link refused", "address", address, "err", err)
	}
}

// operatorRefused logs that the request of an operator was refused.
func (l *refusalLog) operatorRefused(cause, address string) {
	if l.shouldLog(l.now(), "operator "+cause, address) {
		l.logger.Warn("operator refused", "token", cause, "address", address)
	}
}

// shouldLog reports whether to log a cause at a host now, and if so, remembers it.
func (l *refusalLog) shouldLog(now time.Time, cause, address string) bool {
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	key := cause + " " + address
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.lastLogged[key]; ok && now.Sub(at) < refusalLogInterval {
		return false
	}
	if len(l.lastLogged) >= maxRefusalCauses {
		l.expire(now)
	}
	if len(l.lastLogged) >= maxRefusalCauses {
		return false
	}
	l.lastLogged[key] = now
	return true
}

// expire removes causes that are older than refusalLogInterval. It requires mu.
func (l *refusalLog) expire(now time.Time) {
	for key, at := range l.lastLogged {
		if now.Sub(at) >= refusalLogInterval {
			delete(l.lastLogged, key)
		}
	}
}
