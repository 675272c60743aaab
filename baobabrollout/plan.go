package baobabrollout

import "time"

const (
	// smallShare is the share of the requests that the target gets for most of the duration.
	smallShare = 0.05
	// rampAt is when the share starts to rise, as a part of the duration.
	rampAt = 0.6
	// completeAt is when the roll-out should be completed, as a part of the duration.
	completeAt = 0.85
	// minStep is the shortest time between two steps: the evidence of a step needs an answer, a report and two intervals of
	// the judge.
	minStep = 750 * time.Millisecond
	// stepPart is the time between two steps as a part of the duration.
	stepPart = 0.05
	// minAnswers is how many answers of the target the share needs to rise from one step to the next.
	minAnswers = 20
	// minRoom is the share of the baseline's slots that the target needs before it gets more than the small share.
	minRoom = 0.8
	// maxSuspicion is the suspicion from which the share does not rise.
	maxSuspicion = 0.5
	// acknowledgeTime is how long the last step waits for members that do not acknowledge it.
	acknowledgeTime = time.Second
	// drainTime is the time for calls at the old upstreams to end after all members have acknowledged the last step.
	drainTime = 900 * time.Millisecond
)

// steps are the shares after the small one.
var steps = []float64{0.25, 0.6, 1}

// Inputs are what a decider knows when it decides the next stage.
type Inputs struct {
	Elapsed       time.Duration // Since the order.
	SinceStage    time.Duration // Since the stage in force was decided.
	SinceAcks     time.Duration // Since all live members acknowledge the stage; negative: some do not.
	Missing       time.Duration // Since some do not.
	Verdict       Verdict
	Suspicion     float64 // From 0 to 1.
	StageAnswers  uint64  // Of the target since the stage was decided.
	TargetSlots   int
	BaselineSlots int
}

// A Plan is the schedule of a roll-out.
type Plan struct {
	duration time.Duration
}

// NewPlan returns the plan of an order with a duration.
func NewPlan(duration time.Duration) Plan { return Plan{duration: duration} }

// step returns the time between two steps.
func (p Plan) step() time.Duration { return max(minStep, time.Duration(stepPart*float64(p.duration))) }

// ramp returns when the share starts to rise, early enough for all steps and the completion.
func (p Plan) ramp() time.Duration {
	usual := time.Duration(rampAt * float64(p.duration))
	latest := time.Duration(completeAt*float64(p.duration)) - time.Duration(len(steps)-1)*p.step() - drainTime - judgeInterval
	return max(min(usual, latest), p.duration/5)
}

// Next returns the share and the state of the next stage, and why it is decided. It returns false while the stage stays.
func (p Plan) Next(r Record, in Inputs) (share float64, state State, reason string, ok bool) {
	switch {
	case !r.Running():
		return 0, "", "", false
	case r.state == StateRollingBack:
		if in.SinceAcks >= 0 || in.Missing >= acknowledgeTime {
			return 0, StateRolledBack, r.reason, true
		}
		return 0, "", "", false
	case in.Verdict.Condemned():
		return 0, StateRollingBack, in.Verdict.Reason(), true
	case r.share == 1:
		return p.complete(in)
	case in.Elapsed >= p.duration:
		return 0, StateRollingBack, "not completed within its duration", true
	case r.share == 0:
		if in.TargetSlots > 0 || in.Elapsed >= p.ramp() {
			return smallShare, StateRunning, "first upstreams of the target", true
		}
		return 0, "", "", false
	}
	return p.raise(r, in)
}

// complete ends the roll-out once no node uses the baseline any more.
func (p Plan) complete(in Inputs) (share float64, state State, reason string, ok bool) {
	acknowledged := in.SinceAcks
	if acknowledged < 0 {
		acknowledged = in.Missing - acknowledgeTime
	}
	if acknowledged < drainTime {
		return 0, "", "", false
	}
	return 1, StateCompleted, "all nodes use the target", true
}

// raise returns the next step once there is time, room and evidence for it.
func (p Plan) raise(r Record, in Inputs) (share float64, state State, reason string, ok bool) {
	switch {
	case in.Elapsed < p.ramp(), in.SinceStage < p.step():
	case in.StageAnswers < minAnswers, in.Suspicion >= maxSuspicion:
	case float64(in.TargetSlots) < minRoom*float64(in.BaselineSlots), in.TargetSlots == 0:
	default:
		for _, s := range steps {
			if s > r.share {
				return s, StateRunning, "no evidence against the target", true
			}
		}
	}
	return 0, "", "", false
}

// Waiting returns what a roll-out that stays at its stage waits for, for operators.
func (p Plan) Waiting(r Record, in Inputs) string {
	switch {
	case !r.Running():
		return ""
	case r.share == 1 || r.state == StateRollingBack:
		return "acknowledgements"
	case r.share == 0:
		return "upstreams of the target"
	case in.Elapsed < p.ramp() || in.SinceStage < p.step():
		return "time"
	case in.StageAnswers < minAnswers:
		return "answers of the target"
	case in.Suspicion >= maxSuspicion:
		return "evidence"
	default:
		return "room at the target"
	}
}
