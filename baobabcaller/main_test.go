package baobabcaller

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The metrics library keeps one goroutine per summary window for the life of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/VictoriaMetrics/metrics.summariesSwapCron.func1"),
		goleak.IgnoreAnyFunction("github.com/VictoriaMetrics/metrics.summariesSwapCron"))
}
