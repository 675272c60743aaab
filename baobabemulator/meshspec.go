package baobabemulator

import (
	"fmt"
	"time"
)

// A MeshService is a service of a mesh and how its upstreams behave.
type MeshService struct {
	name        string
	upstreams   int // Spread over the failure domains in turn.
	slots       int
	connections int
	serviceTime time.Duration // Mean.
	warmUp      time.Duration
}

// NewMeshService returns a service whose upstreams take about serviceTime per call.
func NewMeshService(name string, upstreams, slots, connections int, serviceTime time.Duration) MeshService {
	return MeshService{name: name, upstreams: upstreams, slots: slots, connections: connections, serviceTime: serviceTime}
}

// WithWarmUp returns a copy whose upstreams are slower for a time after their start.
func (s MeshService) WithWarmUp(d time.Duration) MeshService {
	s.warmUp = d
	return s
}

// Name returns the name of the service.
func (s MeshService) Name() string { return s.name }

// Upstreams returns the number of upstreams.
func (s MeshService) Upstreams() int { return s.upstreams }

// A MeshSpec says which processes a mesh has.
type MeshSpec struct {
	domains         int
	services        []MeshService
	domainDelay     time.Duration // One way, between failure domains; zero means no proxy is needed.
	domainJitter    time.Duration
	proxied         bool // Put a fault-injecting proxy before each node and before the platform.
	embedUpstreams  bool // Run the upstreams in the launcher's process, for meshes of many nodes.
	nodeSettings    string
	credentials     func(id string) string // Keys of the section [peers] that authenticate a node.
	seed            uint64
	platformWrites  int
	platformReads   int
	staticSeedNodes int
	startPause      time.Duration // Between the starts of nodes.
}

// A MeshOption sets an optional property of a MeshSpec.
type MeshOption func(*MeshSpec)

// WithMeshDelay sets the one-way delay and jitter between failure domains, and puts a proxy before each node.
func WithMeshDelay(delay, jitter time.Duration) MeshOption {
	return func(s *MeshSpec) { s.domainDelay, s.domainJitter, s.proxied = delay, jitter, true }
}

// WithMeshProxies puts a fault-injecting proxy before each node and before the platform.
func WithMeshProxies() MeshOption { return func(s *MeshSpec) { s.proxied = true } }

// WithMeshEmbeddedUpstreams runs the upstreams in the launcher's process.
func WithMeshEmbeddedUpstreams() MeshOption { return func(s *MeshSpec) { s.embedUpstreams = true } }

// WithMeshNodeSettings adds INI text to the settings of each node.
func WithMeshNodeSettings(text string) MeshOption {
	return func(s *MeshSpec) { s.nodeSettings += text }
}

// WithMeshCredentials sets the keys of the section [peers] that authenticate each node, instead of the shared key.
func WithMeshCredentials(credentials func(id string) string) MeshOption {
	return func(s *MeshSpec) { s.credentials = credentials }
}

// WithMeshSeed sets the seed of all random choices of the stand-ins.
func WithMeshSeed(seed uint64) MeshOption { return func(s *MeshSpec) { s.seed = seed } }

// WithMeshPlatformRates sets how many writes and reads per second the platform serves.
func WithMeshPlatformRates(writes, reads int) MeshOption {
	return func(s *MeshSpec) { s.platformWrites, s.platformReads = writes, reads }
}

// WithMeshStartPause sets the time between the starts of nodes. Hundreds of processes that start at once on one machine
// keep each other from answering probes.
func WithMeshStartPause(d time.Duration) MeshOption { return func(s *MeshSpec) { s.startPause = d } }

// WithMeshStaticSeeds gives each node the addresses of the first n nodes in its settings.
func WithMeshStaticSeeds(n int) MeshOption { return func(s *MeshSpec) { s.staticSeedNodes = n } }

// NewMeshSpec returns a specification with nodes spread over the failure domains.
func NewMeshSpec(domains int, services []MeshService, options ...MeshOption) *MeshSpec {
	s := &MeshSpec{domains: domains, services: services, seed: 1, credentials: sharedKey}
	for _, o := range options {
		o(s)
	}
	return s
}

// Nodes returns the number of nodes.
func (s *MeshSpec) Nodes() int {
	n := 0
	for _, v := range s.services {
		n += v.upstreams
	}
	return n
}

// domainName returns the name of failure domain i, counted from 1.
func domainName(i int) string { return fmt.Sprintf("fd%d", i) }

func sharedKey(string) string { return "key_file = peer.key" }
