package baobabnode

import (
	"sync"
	"time"

	rollout "github.com/baobabdale/baobabdale/baobabrollout"
)

// rolloutReports holds which stages this node has acknowledged to their deciders, and which reports are on the way. It is safe
// for concurrent use.
type rolloutReports struct {
	mu           sync.Mutex
	acknowledged map[string]rollout.Record // Guarded by mu; last stage acknowledged, by service.
	at           map[string]time.Time      // Guarded by mu; when.
	busy         map[string]bool           // Guarded by mu; a report is on the way, by service.
}

func newRolloutReports() *rolloutReports {
	return &rolloutReports{acknowledged: map[string]rollout.Record{}, at: map[string]time.Time{}, busy: map[string]bool{}}
}

// begin starts a report about a stage. It reports whether this node has acknowledged the stage recently enough, and whether a
// report is on the way already.
func (r *rolloutReports) begin(now time.Time, stage rollout.Record) (acknowledged, busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.acknowledged[stage.Service()]
	acknowledged = last.SameStage(stage) && last.Decider() == stage.Decider() &&
		(stage.Share() < 1 || now.Sub(r.at[stage.Service()]) < rolloutAckInterval)
	if busy = r.busy[stage.Service()]; !busy {
		r.busy[stage.Service()] = true
	}
	return acknowledged, busy
}

// end ends a report, which the decider received or not.
func (r *rolloutReports) end(now time.Time, stage rollout.Record, received bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, stage.Service())
	if received {
		r.acknowledged[stage.Service()], r.at[stage.Service()] = stage, now
	}
}
