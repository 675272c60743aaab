package baobabemulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"
)

// An UpstreamDistribution is the probability distribution of service times.
type UpstreamDistribution string

// Distributions of service times.
const (
	UpstreamFixed       UpstreamDistribution = "fixed"
	UpstreamUniform     UpstreamDistribution = "uniform"     // From 0.5 to 1.5 times the mean.
	UpstreamExponential UpstreamDistribution = "exponential" // At most 20 times the mean.
)

// UpstreamBehaviour configures an emulated upstream. POST /v1/behaviour changes the fields that its body names.
type UpstreamBehaviour struct {
	Slots          int                  `json:"slots"`           // Calls that run at the same time.
	QueueLimit     int                  `json:"queue_limit"`     // Calls that can wait for a slot; further ones are shed.
	Shed           bool                 `json:"shed"`            // Refuse all calls as not started.
	ServiceMs      float64              `json:"service_ms"`      // Mean service time.
	Distribution   UpstreamDistribution `json:"distribution"`    // Distribution of the service times.
	WarmUpMs       int64                `json:"warm_ms"`         // Time after the start during which calls are slower.
	ColdFactor     float64              `json:"cold_factor"`     // Factor of service times at the start; falls linearly to 1.
	FailPercent    float64              `json:"fail_percent"`    // Share of calls that are answered at once with status 500.
	Healthy        bool                 `json:"healthy"`         // Result of /health.
	HealthHang     bool                 `json:"health_hang"`     // /health never answers.
	ProbeMs        int64                `json:"probe_ms"`        // Duration of /health and /load.
	LoadLagMs      int64                `json:"load_lag_ms"`     // Age of the load that /load reports.
	LoadInFlight   *int                 `json:"load_in_flight"`  // Not nil: /load reports this number.
	StopHeartbeats bool                 `json:"announce_stops"`  // Send no heartbeats.
	AnnouncedState string               `json:"announce_state"`  // Not empty: announced instead of the actual state.
	AnnouncedSlots int                  `json:"announce_slots"`  // Not zero: announced instead of Slots.
	IgnoreCancel   bool                 `json:"ignore_cancel"`   // Finish the call even if the client has gone.
	IgnoreTimeout  bool                 `json:"ignore_deadline"` // Finish the call even if Baobab-Timeout-Ms has expired.
	Leaving        bool                 `json:"leaving"`         // Said in answers; nothing is announced.
	RequestLimit   float64              `json:"request_limit"`   // Not zero: stated in answers, in requests per second.
}

// DefaultUpstreamBehaviour returns a healthy upstream with 6 slots, a mean service time of 5 ms and probes of 6 ms.
func DefaultUpstreamBehaviour() UpstreamBehaviour {
	return UpstreamBehaviour{
		Slots:        6,
		QueueLimit:   64,
		ServiceMs:    5,
		Distribution: UpstreamFixed,
		ColdFactor:   1,
		Healthy:      true,
		ProbeMs:      6,
	}
}

// merge returns a copy of b with the fields that a JSON object names.
func (b UpstreamBehaviour) merge(r io.Reader) (UpstreamBehaviour, error) {
	if b.LoadInFlight != nil {
		// The decoder writes through the pointer, which copies of the behaviour share.
		n := *b.LoadInFlight
		b.LoadInFlight = &n
	}
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return b, fmt.Errorf("read behaviour: %w", err)
	}
	if b.Slots < 1 || b.QueueLimit < 0 || b.ServiceMs < 0 || b.ColdFactor < 1 || b.RequestLimit < 0 {
		return b, fmt.Errorf("behaviour: slots, queue_limit, service_ms, cold_factor or request_limit is out of range")
	}
	return b, nil
}

// drawServiceTime returns a random service time for a call that starts at the given age of the upstream.
func (b UpstreamBehaviour) drawServiceTime(random *rand.Rand, age time.Duration) time.Duration {
	ms := b.ServiceMs
	switch b.Distribution {
	case UpstreamUniform:
		ms *= 0.5 + random.Float64()
	case UpstreamExponential:
		ms *= math.Min(random.ExpFloat64(), 20)
	}
	return time.Duration(ms * b.warmUpFactor(age) * float64(time.Millisecond))
}

// warmUpFactor returns the factor of the service time at the given age of the upstream.
func (b UpstreamBehaviour) warmUpFactor(age time.Duration) float64 {
	warmUp := time.Duration(b.WarmUpMs) * time.Millisecond
	if age >= warmUp || warmUp <= 0 {
		return 1
	}
	return b.ColdFactor - (b.ColdFactor-1)*float64(age)/float64(warmUp)
}
