package baobabemulator

import "time"

// A MeshService is a service of a mesh with the number and the behaviour of its upstreams.
type MeshService struct {
	name        string
	upstreams   int // Assigned to the failure domains in turn.
	slots       int
	connections int
	serviceTime time.Duration // Mean time per call.
	warmUp      time.Duration
}

// NewMeshService returns a service whose upstreams take serviceTime per call on average.
func NewMeshService(name string, upstreams, slots, connections int, serviceTime time.Duration) MeshService {
	return MeshService{name: name, upstreams: upstreams, slots: slots, connections: connections, serviceTime: serviceTime}
}

// WithWarmUp returns a copy whose upstreams are slower for d after their start.
func (s MeshService) WithWarmUp(d time.Duration) MeshService {
	s.warmUp = d
	return s
}

// Name returns the name of the service.
func (s MeshService) Name() string { return s.name }

// Upstreams returns the number of upstreams.
func (s MeshService) Upstreams() int { return s.upstreams }
