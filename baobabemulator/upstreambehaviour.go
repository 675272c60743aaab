package baobabemulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"
)

// UpstreamDistribution is the distribution of service times around their mean.
type UpstreamDistribution string

// Distributions of service times.
const (
	UpstreamFixed       UpstreamDistribution = "fixed"
	UpstreamUniform     UpstreamDistribution = "uniform"     // From half to one and a half times the mean.
	UpstreamExponential UpstreamDistribution = "exponential" // At most 20 times the mean.
)

// UpstreamBehaviour is how a stand-in upstream behaves. POST /v1/behaviour changes the fields that it names.
type UpstreamBehaviour struct {
	Slots         int                  `json:"slots"`           // Calls run at the same time.
	QueueLimit    int                  `json:"queue_limit"`     // Calls that wait for a slot; further ones are shed.
	Shed          bool                 `json:"shed"`            // Refuse each call as not started.
	ServiceMs     float64              `json:"service_ms"`      // Mean service time.
	Distribution  UpstreamDistribution `json:"distribution"`    //
	WarmMs        int64                `json:"warm_ms"`         // Time after the start in which calls are slower.
	ColdFactor    float64              `json:"cold_factor"`     // Service time right after the start, as a multiple; falls linearly to 1.
	FailPercent   float64              `json:"fail_percent"`    // Share of calls that fail fast with status 500.
	Healthy       bool                 `json:"healthy"`         // What /health says.
	HealthHang    bool                 `json:"health_hang"`     // /health does not answer.
	ProbeMs       int64                `json:"probe_ms"`        // Time that /health and /load take.
	LoadLagMs     int64                `json:"load_lag_ms"`     // Age of what /load reports.
	LoadInFlight  *int                 `json:"load_in_flight"`  // Not null: /load reports this number.
	AnnounceStops bool                 `json:"announce_stops"`  // Heartbeats are not sent.
	AnnounceState string               `json:"announce_state"`  // Not empty: announced in place of the true state.
	AnnounceSlots int                  `json:"announce_slots"`  // Not zero: announced in place of Slots.
	IgnoreCancel  bool                 `json:"ignore_cancel"`   // Run to the end although the caller is gone.
	IgnoreTimeout bool                 `json:"ignore_deadline"` // Run to the end although Baobab-Timeout-Ms is over.
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

// merge returns b with the fields that the JSON names changed.
func (b UpstreamBehaviour) merge(r io.Reader) (UpstreamBehaviour, error) {
	if b.LoadInFlight != nil {
		// The decoder writes through a pointer, which copies of the behaviour share.
		n := *b.LoadInFlight
		b.LoadInFlight = &n
	}
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return b, fmt.Errorf("read behaviour: %w", err)
	}
	if b.Slots < 1 || b.QueueLimit < 0 || b.ServiceMs < 0 || b.ColdFactor < 1 {
		return b, fmt.Errorf("behaviour: slots, queue_limit, service_ms or cold_factor is out of range")
	}
	return b, nil
}

// serviceTime draws a service time for a call that starts at the given age of the upstream.
func (b UpstreamBehaviour) serviceTime(random *rand.Rand, age time.Duration) time.Duration {
	ms := b.ServiceMs
	switch b.Distribution {
	case UpstreamUniform:
		ms *= 0.5 + random.Float64()
	case UpstreamExponential:
		ms *= math.Min(random.ExpFloat64(), 20)
	}
	return time.Duration(ms * b.slowness(age) * float64(time.Millisecond))
}

func (b UpstreamBehaviour) slowness(age time.Duration) float64 {
	warm := time.Duration(b.WarmMs) * time.Millisecond
	if age >= warm || warm <= 0 {
		return 1
	}
	return b.ColdFactor - (b.ColdFactor-1)*float64(age)/float64(warm)
}
