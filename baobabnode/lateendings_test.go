package baobabnode

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// TestCallsEndSoonAfterDeadline guards against callers that wait half a second beyond the timeout of the route for a node
// that does not answer.
func TestCallsEndSoonAfterDeadline(t *testing.T) {
	for _, keys := range []string{"", "objective_order = on\n"} {
		if latest := answerGraceFor(testAdmission(t, keys)) + answerDeliveryTime; latest >= maxLateness {
			t.Errorf("with %q calls end up to %s after their deadline, want less than %s", keys, latest, maxLateness)
		}
	}
}

// TestLateEndings guards against late calls that are not counted.
func TestLateEndings(t *testing.T) {
	deadline := time.Unix(1000, 0)
	l := newLateEndings(metrics.NewSet())
	for _, over := range []time.Duration{-time.Second, 0, 100, 101, 250, 251, 500, 501, 5000} {
		l.count(deadline.Add(over*time.Millisecond), deadline)
	}
	for i, want := range []uint64{6, 4, 2} {
		if got := l.counters[i].Get(); got != want {
			t.Errorf("%d calls ended over %s late, want %d", got, lateEndingBounds[i], want)
		}
	}
}
