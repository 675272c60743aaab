package baobabnode

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// decisionLinesPerSecond and decisionBurst limit the log lines about single calls. A line takes about 10 us of CPU
	// time, so a flood of refusals uses at most 0.1% of a core.
	decisionLinesPerSecond = 100
	decisionBurst          = 300
)

// A decisionLog writes one line for each decision that ends or retries a call, up to a rate limit. Suppressed lines are
// counted. It never blocks.
type decisionLog struct {
	logger     *log.Logger
	limit      *rate.Limiter
	suppressed *metrics.Counter
}

func newDecisionLog(logger *log.Logger, set *metrics.Set) *decisionLog {
	return &decisionLog{
		logger: logger, limit: rate.NewLimiter(decisionLinesPerSecond, decisionBurst),
		suppressed: set.NewCounter("baobab_log_decisions_suppressed_total"),
	}
}

// write logs a message with key-value pairs, unless the rate limit is exceeded.
func (l *decisionLog) write(now time.Time, message string, keyvals ...any) {
	if !l.limit.AllowN(now, 1) {
		l.suppressed.Inc()
		return
	}
	l.logger.Info(message, keyvals...)
}
