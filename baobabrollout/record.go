package baobabrollout

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// A State is the state of a roll-out.
type State string

// States of a roll-out, sorted.
const (
	StateCompleted State = "completed"
	// StateRolledBack means that the target gets nothing, and that all nodes in touch know it.
	StateRolledBack State = "rolled_back"
	// StateRollingBack means that the target gets nothing. Some nodes may not know it yet.
	StateRollingBack State = "rolling_back"
	StateRunning     State = "running"
)

// A Record is the stage of the roll-out of one service. It is immutable.
type Record struct {
	service   string
	order     uint64 // Revision of the order; never 0.
	sequence  uint64 // Rises with each stage of an order.
	target    string
	baseline  string // Version before the roll-out.
	share     float64
	state     State
	reason    string        // Why the last stage was decided.
	decider   string        // Member that decided the stage.
	elapsed   time.Duration // Since the order, at the time of the stage, by the clocks of the deciders.
	confirmed time.Time     // When the decider last confirmed the stage, on this node's clock.
}

// NewRecord returns the first stage of a roll-out, without any requests for the target.
func NewRecord(o Order, baseline, decider string, now time.Time) Record {
	return Record{
		service: o.Service(), order: o.Revision(), sequence: 1, target: o.Target(), baseline: baseline, state: StateRunning,
		reason: "ordered", decider: decider, confirmed: now,
	}
}

// RejectedRecord returns the record of an order that is not carried out. An order for the version to which the service was
// moved before is completed.
func RejectedRecord(o Order, earlier Record, baseline, problem, decider string, now time.Time) Record {
	r := NewRecord(o, baseline, decider, now)
	r.state, r.reason = StateRolledBack, problem
	if earlier.state == StateCompleted && earlier.target == o.Target() && o.Target() != "" {
		r.state, r.share = StateCompleted, 1
	}
	return r
}

// ReceivedRecord returns a stage that another node decided and that its decider confirmed at a time.
func ReceivedRecord(service string, order, sequence uint64, target, baseline string, share float64, state State, decider string,
	confirmed time.Time) Record {
	return Record{
		service: service, order: order, sequence: sequence, target: target, baseline: baseline,
		share: min(max(share, 0), 1), state: state, decider: decider, confirmed: confirmed,
	}
}

// Service returns the service.
func (r Record) Service() string { return r.service }

// Order returns the revision of the order, or 0 without a record.
func (r Record) Order() uint64 { return r.order }

// Sequence returns the number of the stage within the order.
func (r Record) Sequence() uint64 { return r.sequence }

// Target returns the version that requests move to.
func (r Record) Target() string { return r.target }

// Baseline returns the version that requests come from.
func (r Record) Baseline() string { return r.baseline }

// Share returns the share of requests for the target, from 0 to 1.
func (r Record) Share() float64 { return r.share }

// State returns the state.
func (r Record) State() State { return r.state }

// Running reports whether the roll-out has not ended.
func (r Record) Running() bool { return r.state == StateRunning || r.state == StateRollingBack }

// Reason returns why the stage was decided.
func (r Record) Reason() string { return r.reason }

// Decider returns the id of the member that decided the stage.
func (r Record) Decider() string { return r.decider }

// Elapsed returns the time from the order to the stage.
func (r Record) Elapsed() time.Duration { return r.elapsed }

// Confirmed returns when the decider last confirmed the stage, on this node's clock.
func (r Record) Confirmed() time.Time { return r.confirmed }

// ConfirmedAt returns the record as confirmed at a time.
func (r Record) ConfirmedAt(t time.Time) Record {
	r.confirmed = t
	return r
}

// InForce reports whether a node that knows the record at a time follows it. A stage that is too old is not followed.
func (r Record) InForce(now time.Time) bool {
	return r.share == 0 || !r.Running() || now.Sub(r.confirmed) < StageLimit
}

// NewerThan reports whether the record replaces o: it has the higher order, or a later stage of the same one.
func (r Record) NewerThan(o Record) bool {
	if r.order != o.order {
		return r.order > o.order
	}
	return r.sequence > o.sequence
}

// SameStage reports whether both records are the same stage.
func (r Record) SameStage(o Record) bool { return r.order == o.order && r.sequence == o.sequence }

// Next returns the following stage.
func (r Record) Next(share float64, state State, reason, decider string, elapsed time.Duration, now time.Time) Record {
	r.sequence++
	r.share, r.state, r.reason, r.decider, r.elapsed, r.confirmed = share, state, reason, decider, elapsed, now
	return r
}

// current returns the version that requests without a roll-out use.
func (r Record) current() string {
	if r.state == StateCompleted {
		return r.target
	}
	return r.baseline
}

// recordJSON is the stored form of a Record.
type recordJSON struct {
	Service   string  `json:"service"`
	Order     uint64  `json:"order"`
	Sequence  uint64  `json:"sequence"`
	Target    string  `json:"target"`
	Baseline  string  `json:"baseline"`
	Share     float64 `json:"share"`
	State     State   `json:"state"`
	Reason    string  `json:"reason"`
	Decider   string  `json:"decider"`
	ElapsedMs int64   `json:"elapsed_ms"`
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(recordJSON{
		Service: r.service, Order: r.order, Sequence: r.sequence, Target: r.target, Baseline: r.baseline, Share: r.share,
		State: r.state, Reason: r.reason, Decider: r.decider, ElapsedMs: r.elapsed.Milliseconds(),
	})
	return data, errors.Wrap(err, "encode roll-out record")
}

// DecodeRecord returns the record with a stored form, as confirmed at a time.
func DecodeRecord(data []byte, confirmed time.Time) (Record, error) {
	var j recordJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Record{}, errors.Wrap(err, "decode roll-out record")
	}
	if j.Service == "" || j.Order == 0 || j.Target == "" || j.Share < 0 || j.Share > 1 {
		return Record{}, errors.New("decode roll-out record: a field is missing or out of range")
	}
	return Record{
		service: j.Service, order: j.Order, sequence: j.Sequence, target: j.Target, baseline: j.Baseline, share: j.Share,
		state: j.State, reason: j.Reason, decider: j.Decider, elapsed: time.Duration(j.ElapsedMs) * time.Millisecond,
		confirmed: confirmed,
	}, nil
}
