package baobabmembership

import "time"

// EndpointState is the state of the upstream behind a member.
type EndpointState string

// Endpoint states, in the order of an upstream's lifecycle.
const (
	EndpointWarming  EndpointState = "warming"
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining"
	EndpointFailed   EndpointState = "failed"
)

func (s EndpointState) isValid() bool {
	return s == EndpointWarming || s == EndpointReady || s == EndpointDraining || s == EndpointFailed
}

// An Endpoint is the upstream behind a member.
type Endpoint struct {
	service     string
	upstreamID  string
	slots       uint32
	connections uint32
	state       EndpointState
	startTime   time.Time // On the local clock; it differs between nodes by the message delay.
	// requestLimit is the number of requests per second that the upstream states it takes; negative without a limit.
	requestLimit float64
	leaving      bool // The upstream has said that it leaves.
}

// NewEndpoint returns an endpoint. The start time of the upstream is on the local clock.
func NewEndpoint(service, upstreamID string, slots, connections uint32, s EndpointState, start time.Time) Endpoint {
	return Endpoint{
		service: service, upstreamID: upstreamID, slots: slots, connections: connections, state: s, startTime: start,
		requestLimit: -1,
	}
}

// Service returns the service of which the upstream is an instance.
func (e Endpoint) Service() string { return e.service }

// UpstreamID returns the id of the upstream process.
func (e Endpoint) UpstreamID() string { return e.upstreamID }

// Slots returns the number of requests that the upstream processes concurrently.
func (e Endpoint) Slots() uint32 { return e.slots }

// Connections returns the number of connections that the upstream accepts.
func (e Endpoint) Connections() uint32 { return e.connections }

// State returns the state of the upstream.
func (e Endpoint) State() EndpointState { return e.state }

// StartTime returns when the upstream started, on the local clock.
func (e Endpoint) StartTime() time.Time { return e.startTime }

// RequestLimit returns the requests per second that the upstream states it takes, or a negative number without a limit.
func (e Endpoint) RequestLimit() float64 { return e.requestLimit }

// Leaving reports whether the upstream has said that it leaves.
func (e Endpoint) Leaving() bool { return e.leaving }

// WithNotice returns a copy with what the upstream says about itself. A negative limit means none.
func (e Endpoint) WithNotice(requestLimit float64, leaving bool) Endpoint {
	e.requestLimit, e.leaving = requestLimit, leaving
	return e
}

// WithState returns a copy in another state.
func (e Endpoint) WithState(s EndpointState) Endpoint {
	e.state = s
	return e
}
