package baobabcaller

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// maxRankLabels bounds the label values of the latency summaries, because callers choose the rank freely.
const maxRankLabels = 16

// meters holds the metrics of the callers' edge.
type meters struct {
	set       *metrics.Set
	overSize  *metrics.Counter // Requests that the HTTP server refused before they reached the handler.
	malformed *metrics.Counter // As above.
	truncated *metrics.Counter
	gone      *metrics.Counter

	mu    sync.Mutex
	ranks map[string]bool // At most maxRankLabels entries.
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{
		set:       set,
		overSize:  set.GetOrCreateCounter(`baobab_caller_unread_total{cause="over_size"}`),
		malformed: set.GetOrCreateCounter(`baobab_caller_unread_total{cause="malformed"}`),
		truncated: set.GetOrCreateCounter(`baobab_caller_aborted_total{cause="truncated"}`),
		gone:      set.GetOrCreateCounter(`baobab_caller_aborted_total{cause="caller_gone"}`),
		ranks:     map[string]bool{},
	}
	m.answers(call.OutcomeRan)
	for _, r := range call.Reasons() {
		for _, o := range outcomesOf(r) {
			m.refusals(r, o)
		}
	}
	return m
}

// outcomesOf returns the outcomes that a refusal can have. Only a repeated key can be refused after it was run.
func outcomesOf(r call.Reason) []call.Outcome {
	if r == call.ReasonInProgress {
		return []call.Outcome{call.OutcomeNotRun, call.OutcomeRan, call.OutcomeUnknown}
	}
	return []call.Outcome{call.OutcomeNotRun, call.OutcomeUnknown}
}

func (m *meters) answers(o call.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("baobab_caller_answers_total{outcome=%q}", o))
}

func (m *meters) refusals(r call.Reason, o call.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("baobab_caller_refusals_total{reason=%q,outcome=%q}", r, o))
}

// refusalCounts returns the refusals by reason, over all outcomes.
func (m *meters) refusalCounts() map[string]uint64 {
	counts := map[string]uint64{}
	for _, r := range call.Reasons() {
		n := uint64(0)
		for _, o := range outcomesOf(r) {
			n += m.refusals(r, o).Get()
		}
		if n > 0 {
			counts[string(r)] = n
		}
	}
	return counts
}

func (m *meters) observe(rank string, d time.Duration) {
	name := fmt.Sprintf("baobab_caller_duration_seconds{rank=%q}", m.rankLabel(rank))
	m.set.GetOrCreateSummary(name).Update(d.Seconds())
}

func (m *meters) rankLabel(rank string) string {
	if rank == "" {
		return "default"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ranks[rank] {
		return rank
	}
	if len(m.ranks) >= maxRankLabels {
		return "other"
	}
	m.ranks[rank] = true
	return rank
}
