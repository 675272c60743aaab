package baobabdependency

import "time"

// A KindState is a snapshot of what is known about a kind of root.
type KindState struct {
	name       string
	share      float64
	started    uint64
	refused    uint64
	shortOf    string
	shortSince time.Time
	services   []ServiceState
}

func newKindState(k *kind) KindState {
	s := KindState{
		name: k.name, share: k.share, started: k.roots, refused: k.refused, shortOf: k.shortOf, shortSince: k.shortSince,
		services: make([]ServiceState, 0, len(k.dependencies)),
	}
	for _, d := range k.dependencies {
		s.services = append(s.services, ServiceState{service: d.service, calls: d.total, latency: d.latency})
	}
	return s
}

// Name returns the name of the kind.
func (s KindState) Name() string { return s.name }

// Share returns the share of roots that start, above 0 and at most 1.
func (s KindState) Share() float64 { return s.share }

// Started returns how many roots started since nested calls of the kind were first seen.
func (s KindState) Started() uint64 { return s.started }

// Refused returns how many roots were refused.
func (s KindState) Refused() uint64 { return s.refused }

// ShortOf returns the service that lacks room, or an empty string while all roots start.
func (s KindState) ShortOf() string {
	if s.shortSince.IsZero() {
		return ""
	}
	return s.shortOf
}

// ShortSince returns since when roots are refused, or the zero time while all start.
func (s KindState) ShortSince() time.Time { return s.shortSince }

// Services returns the services that roots of the kind call, sorted by name.
func (s KindState) Services() []ServiceState { return s.services }

// A ServiceState is a snapshot of the nested calls of a kind of root to one service.
type ServiceState struct {
	service string
	calls   [EndingFailed + 1]uint64
	latency time.Duration
}

// Service returns the name of the service.
func (s ServiceState) Service() string { return s.service }

// Calls returns how many nested calls ended in the given way.
func (s ServiceState) Calls(e Ending) uint64 { return s.calls[e] }

// Latency returns the recent mean latency of served calls, or zero before the first one.
func (s ServiceState) Latency() time.Duration { return s.latency }
