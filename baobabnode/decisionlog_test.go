package baobabnode

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// TestDecisionLogIsBounded guards against a flood of refusals whose log lines use up the CPU time of other calls, and
// against suppressed lines that are not counted.
func TestDecisionLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := newDecisionLog(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}), metrics.NewSet())
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	const calls = 10_000
	for range calls {
		l.write(now, "call refused", "call", "c1")
	}
	lines := strings.Count(out.String(), "call refused")
	if lines != decisionBurst || l.suppressed.Get() != calls-decisionBurst {
		t.Errorf("%d lines and %d suppressed of %d, want %d lines", lines, l.suppressed.Get(), calls, decisionBurst)
	}
	l.write(now.Add(time.Second), "call refused", "call", "c2")
	if strings.Count(out.String(), "c2") != 1 {
		t.Error("no line a second after the flood")
	}
}
