package baobabemulator

import (
	"fmt"
	"time"
)

// A MeshSpec specifies the processes of a mesh.
type MeshSpec struct {
	domains                 int
	services                []MeshService
	domainDelay             time.Duration // One way, between failure domains; zero needs no proxies.
	domainJitter            time.Duration
	proxied                 bool // Put fault-injecting proxies in front of the nodes and the platform.
	embedUpstreams          bool // Run the upstreams in the current process, for meshes with many nodes.
	nodeSettings            string
	peerCredentials         func(id string) string // Returns the INI lines of the section [peers] that authenticate a node.
	seed                    uint64
	platformWritesPerSecond int
	platformReadsPerSecond  int
	staticSeeds             int
	startInterval           time.Duration // Time between the starts of two nodes.
}

// A MeshOption sets an optional property of a MeshSpec.
type MeshOption func(*MeshSpec)

// WithMeshDelay sets the one-way delay and jitter between failure domains, and adds proxies like WithMeshProxies.
func WithMeshDelay(delay, jitter time.Duration) MeshOption {
	return func(s *MeshSpec) { s.domainDelay, s.domainJitter, s.proxied = delay, jitter, true }
}

// WithMeshProxies puts fault-injecting proxies in front of the nodes and the platform.
func WithMeshProxies() MeshOption { return func(s *MeshSpec) { s.proxied = true } }

// WithMeshEmbeddedUpstreams runs the upstreams in the current process.
func WithMeshEmbeddedUpstreams() MeshOption { return func(s *MeshSpec) { s.embedUpstreams = true } }

// WithMeshNodeSettings appends INI text to the settings of each node.
func WithMeshNodeSettings(text string) MeshOption {
	return func(s *MeshSpec) { s.nodeSettings += text }
}

// WithMeshCredentials sets the function that returns the INI lines of the section [peers] that authenticate a node. By
// default nodes use a shared key.
func WithMeshCredentials(credentials func(id string) string) MeshOption {
	return func(s *MeshSpec) { s.peerCredentials = credentials }
}

// WithMeshSeed sets the seed of all random choices of upstreams and proxies.
func WithMeshSeed(seed uint64) MeshOption { return func(s *MeshSpec) { s.seed = seed } }

// WithMeshPlatformRates sets the number of writes and reads per second that the platform accepts.
func WithMeshPlatformRates(writes, reads int) MeshOption {
	return func(s *MeshSpec) { s.platformWritesPerSecond, s.platformReadsPerSecond = writes, reads }
}

// WithMeshStartInterval sets the time between the starts of two nodes. Hundreds of processes that start at the same time
// on one machine cannot answer probes in time.
func WithMeshStartInterval(d time.Duration) MeshOption {
	return func(s *MeshSpec) { s.startInterval = d }
}

// WithMeshStaticSeeds lists the addresses of the first n nodes as seeds in the settings of each node.
func WithMeshStaticSeeds(n int) MeshOption { return func(s *MeshSpec) { s.staticSeeds = n } }

// NewMeshSpec returns a specification of a mesh with one node per upstream. The nodes are assigned to the failure domains
// in turn.
func NewMeshSpec(domains int, services []MeshService, options ...MeshOption) *MeshSpec {
	s := &MeshSpec{domains: domains, services: services, seed: 1, peerCredentials: sharedKeySetting}
	for _, o := range options {
		o(s)
	}
	return s
}

// Nodes returns the number of nodes, one per upstream.
func (s *MeshSpec) Nodes() int {
	n := 0
	for _, v := range s.services {
		n += v.upstreams
	}
	return n
}

// domainName returns the name of failure domain i, counted from 1.
func domainName(i int) string { return fmt.Sprintf("fd%d", i) }

func sharedKeySetting(string) string { return "key_file = peer.key" }
