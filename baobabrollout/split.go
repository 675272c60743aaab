package baobabrollout

import "time"

const (
	// settleTime is how long a node must have seen one version only before it takes it for the version in use. A node that
	// starts knows only some upstreams at first.
	settleTime = 2 * time.Second
	// StageLimit is the age of a stage from which a node sends nothing to the target: the roll-out may have been rolled back
	// without this node.
	StageLimit = 4500 * time.Millisecond
)

// A Split decides which versions of one service a request may use, from what one node knows. It is not safe for concurrent
// use.
type Split struct {
	record      Record // Newest one known; order 0: none.
	order       Order  // Newest one known; revision 0: none.
	started     time.Time
	baseline    string // Version in use before any order; empty: not settled.
	heldSince   time.Time
	single      string // Only version seen since singleSince; empty: none or several.
	singleSince time.Time
	stopped     Record // Stage whose target must not be used, because its decider is about to end it; order 0: none.
}

// NewSplit returns a split of a node that knows nothing about the service yet.
func NewSplit(now time.Time) *Split { return &Split{started: now} }

// Record returns the newest record.
func (s *Split) Record() Record { return s.record }

// Order returns the newest order.
func (s *Split) Order() Order { return s.order }

// Held returns the version in use before any order, and since when this mesh holds it; empty if it is not settled.
func (s *Split) Held() (string, time.Time) { return s.baseline, s.heldSince }

// ObserveOrder records an order and reports whether it is new.
func (s *Split) ObserveOrder(o Order) bool {
	if o.revision <= s.order.revision {
		return false
	}
	s.order = o
	return true
}

// Merge applies a record and reports whether it is a new stage. A record of the known stage only confirms it.
func (s *Split) Merge(r Record) bool {
	switch {
	case r.NewerThan(s.record):
		s.record = r
		return true
	case r.SameStage(s.record) && r.confirmed.After(s.record.confirmed):
		s.record = s.record.ConfirmedAt(r.confirmed)
	}
	return false
}

// Stop ends the requests for the target of a stage before its decider has written the next one, because the store may be slow.
// It reports whether that is new. A later stage takes precedence, also one of another decider that does not stop the target.
func (s *Split) Stop(stage Record) bool {
	if !stage.SameStage(s.record) || s.stopped.SameStage(stage) {
		return false
	}
	s.stopped = stage
	return true
}

// MergeHeld applies the version in use that another node holds since a time, and reports whether it replaces this node's.
// The one held for longer wins.
func (s *Split) MergeHeld(version string, since time.Time) bool {
	if version == "" || s.baseline != "" && (s.baseline == version || !since.Before(s.heldSince)) {
		return false
	}
	s.baseline, s.heldSince = version, since
	return true
}

// Observe records the upstreams that the node knows.
func (s *Split) Observe(now time.Time, p Populations) {
	only := ""
	if p.versions() == 1 {
		only = p.eldest("")
	}
	if only != s.single {
		s.single, s.singleSince = only, now
	}
	if s.baseline == "" && only != "" && only != s.order.target && now.Sub(s.singleSince) >= settleTime {
		s.baseline, s.heldSince = only, s.singleSince
	}
}

// Baseline returns the version that requests without a roll-out use, or an empty string while it is unknown.
func (s *Split) Baseline(now time.Time, p Populations) string {
	if s.record.order > 0 {
		return s.record.current()
	}
	if s.baseline != "" {
		return s.baseline
	}
	if v := p.eldest(s.order.target); v != "" {
		return v
	}
	// Only the ordered version is known. The roll-out may have been completed long ago, or this node may have just started.
	if now.Sub(s.started) >= settleTime {
		return p.eldest("")
	}
	return ""
}

// Stage returns what requests may use at a time.
func (s *Split) Stage(now time.Time, p Populations) Stage {
	stage := Stage{baseline: s.Baseline(now, p)}
	r := s.record
	others := p.versions()
	if _, ok := p[stage.baseline]; ok && stage.baseline != "" {
		others--
	}
	stage.unstated = others == 0 && (r.order == 0 || !r.Running())
	if r.order == 0 || !r.Running() || r.order < s.order.revision || r.share == 0 || r.SameStage(s.stopped) {
		return stage
	}
	stage.target, stage.share, stage.until = r.target, r.share, r.confirmed.Add(StageLimit)
	if now.Before(stage.until) {
		return stage
	}
	// With all requests at the target, the old upstreams may have stopped because the roll-out was completed.
	if _, ok := p[r.baseline]; r.share == 1 && !ok {
		stage.until = time.Time{}
		return stage
	}
	return Stage{baseline: stage.baseline}
}

// A Stage is what the requests of one service may use.
type Stage struct {
	baseline string
	target   string    // Empty: only the baseline.
	share    float64   // Of the requests for the target.
	until    time.Time // When the target must not be used any more; zero: no limit.
	unstated bool      // Upstreams that state no version count as the baseline.
}

// Baseline returns the version that requests use by default; empty while it is unknown.
func (s Stage) Baseline() string { return s.baseline }

// Target returns the version that a share of the requests uses, or an empty string.
func (s Stage) Target() string { return s.target }

// Share returns the share of requests for the target.
func (s Stage) Share() float64 { return s.share }

// Until returns when the stage ends without news, or zero.
func (s Stage) Until() time.Time { return s.until }

// IsBaseline reports whether an upstream with a version belongs to the baseline.
func (s Stage) IsBaseline(version string) bool {
	if version == "" {
		return s.unstated
	}
	return version == s.baseline
}

// Allows reports whether an upstream with a version may run requests.
func (s Stage) Allows(version string) bool {
	return s.IsBaseline(version) || version != "" && version == s.target
}
