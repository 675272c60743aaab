package baobabnode

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// decisionLinesPerSecond and decisionBurst bound the lines about single calls: a line takes about 10 us of processor
	// time, so a flood of refusals costs at most 0.1% of a core.
	decisionLinesPerSecond = 100
	decisionBurst          = 300
)

// A decisionLog writes one line for each decision that ends or repeats a call, up to a rate. Lines beyond it are counted.
// It never blocks.
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

// write writes a line with pairs of names and values.
func (l *decisionLog) write(now time.Time, message string, pairs ...any) {
	if !l.limit.AllowN(now, 1) {
		l.suppressed.Inc()
		return
	}
	l.logger.Info(message, pairs...)
}
