package baobabcaller

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// maxRankLabels limits the rank label values of the latency summaries, because callers can send any rank.
const maxRankLabels = 16

// Reasons for cancelling a call that was handed on before its turn.
const (
	cancelledCallerGone       = "caller_gone"
	cancelledConnectionClosed = "connection_closed"
)

// handlerMetrics holds the metrics of a Handler and its HTTPServer.
type handlerMetrics struct {
	set             *metrics.Set
	unreadOverSize  *metrics.Counter // Requests that net/http's server rejected before they reached the handler.
	unreadMalformed *metrics.Counter // As above.
	truncated       *metrics.Counter
	callerGone      *metrics.Counter

	aheadHandedOn        *metrics.Counter // Requests handed on while others before them were unanswered.
	aheadStoppedRequests *metrics.Counter // Times that a connection reached its limit of requests handed on.
	aheadStoppedBytes    *metrics.Counter // Times that a connection reached its limit of bytes read ahead.
	aheadMismatched      *metrics.Counter // Requests that the HTTP server read differently.

	mu    sync.Mutex
	ranks map[string]bool // At most maxRankLabels entries.
}

func newHandlerMetrics(set *metrics.Set) *handlerMetrics {
	m := &handlerMetrics{
		set:             set,
		unreadOverSize:  set.GetOrCreateCounter(`baobab_caller_unread_total{cause="over_size"}`),
		unreadMalformed: set.GetOrCreateCounter(`baobab_caller_unread_total{cause="malformed"}`),
		truncated:       set.GetOrCreateCounter(`baobab_caller_aborted_total{cause="truncated"}`),
		callerGone:      set.GetOrCreateCounter(`baobab_caller_aborted_total{cause="caller_gone"}`),
		ranks:           map[string]bool{},

		aheadHandedOn:        set.GetOrCreateCounter(`baobab_caller_ahead_handed_on_total`),
		aheadStoppedRequests: set.GetOrCreateCounter(`baobab_caller_ahead_stopped_total{limit="requests"}`),
		aheadStoppedBytes:    set.GetOrCreateCounter(`baobab_caller_ahead_stopped_total{limit="bytes"}`),
		aheadMismatched:      set.GetOrCreateCounter(`baobab_caller_ahead_mismatched_total`),
	}
	m.answerCounter(call.OutcomeRan)
	for _, reason := range []string{cancelledCallerGone, cancelledConnectionClosed} {
		m.aheadCancelled(reason)
	}
	for _, r := range call.Reasons() {
		for _, o := range outcomesOf(r) {
			m.refusalCounter(r, o)
		}
	}
	return m
}

// outcomesOf returns the outcomes that a refusal with the reason can have. Only a call that repeats an idempotency key
// can be refused although it was run.
func outcomesOf(r call.Reason) []call.Outcome {
	if r == call.ReasonInProgress {
		return []call.Outcome{call.OutcomeNotRun, call.OutcomeRan, call.OutcomeUnknown}
	}
	return []call.Outcome{call.OutcomeNotRun, call.OutcomeUnknown}
}

// aheadCancelled counts calls that were handed on before their turn and cancelled.
func (m *handlerMetrics) aheadCancelled(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("baobab_caller_ahead_cancelled_total{reason=%q}", reason))
}

func (m *handlerMetrics) answerCounter(o call.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("baobab_caller_answers_total{outcome=%q}", o))
}

func (m *handlerMetrics) refusalCounter(r call.Reason, o call.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("baobab_caller_refusals_total{reason=%q,outcome=%q}", r, o))
}

// refusalCounts returns the number of refusals by reason, summed over all outcomes.
func (m *handlerMetrics) refusalCounts() map[string]uint64 {
	counts := map[string]uint64{}
	for _, r := range call.Reasons() {
		n := uint64(0)
		for _, o := range outcomesOf(r) {
			n += m.refusalCounter(r, o).Get()
		}
		if n > 0 {
			counts[string(r)] = n
		}
	}
	return counts
}

func (m *handlerMetrics) observeDuration(rank string, d time.Duration) {
	name := fmt.Sprintf("baobab_caller_duration_seconds{rank=%q}", m.rankLabel(rank))
	m.set.GetOrCreateSummary(name).Update(d.Seconds())
}

func (m *handlerMetrics) rankLabel(rank string) string {
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
