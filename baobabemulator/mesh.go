package baobabemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabfault"
	"github.com/baobabdale/baobabdale/baobaboperator"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

const (
	// meshPeerKey and meshOperatorToken authenticate the nodes and the operators of a mesh.
	meshPeerKey       = "shared key of a mesh on loopback"
	meshOperatorToken = "operator token of a mesh on loopback"
	// portNetworkLock is bound while a mesh uses a network, so that meshes started by other processes use other networks.
	portNetworkLock = 7999
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// A Mesh is a set of processes on loopback: the emulated platform, the nodes and their emulated upstreams. Optionally
// the nodes and the platform are behind fault-injecting proxies.
type Mesh struct {
	spec            *MeshSpec
	dir             string
	binaries        Binaries
	networkPrefix   string // First two octets of all addresses, for example "127.7".
	networkLock     net.Listener
	platform        *Process
	nodes           []*MeshNode
	platformProxies map[string]*baobabfault.Proxy // Proxies of the platform, by failure domain of their clients.
}

// NewMesh prepares a mesh that writes its files to a directory. The caller must close it.
func NewMesh(spec *MeshSpec, dir string, binaries Binaries) (*Mesh, error) {
	m := &Mesh{spec: spec, dir: dir, binaries: binaries, platformProxies: map[string]*baobabfault.Proxy{}}
	if err := m.reserveNetwork(); err != nil {
		return nil, err
	}
	if err := m.build(); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

// reserveNetwork selects a network of loopback addresses that no other mesh uses.
func (m *Mesh) reserveNetwork() error {
	const maxAttempts = 100
	for range maxAttempts {
		network := fmt.Sprintf("127.%d", 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, portNetworkLock))
		if err == nil {
			m.networkPrefix, m.networkLock = network, l
			return nil
		}
	}
	return errors.New("reserve network: none is free")
}

func (m *Mesh) build() error {
	for name, text := range map[string]string{"peer.key": meshPeerKey, "operator.token": meshOperatorToken} {
		if err := os.WriteFile(filepath.Join(m.dir, name), []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "build mesh")
		}
	}
	args := []string{"platform", "--listen", m.platformAddress()}
	if m.spec.platformWritesPerSecond > 0 {
		args = append(args, "--writes", fmt.Sprint(m.spec.platformWritesPerSecond),
			"--reads", fmt.Sprint(m.spec.platformReadsPerSecond))
	}
	m.platform = NewProcess("platform", filepath.Join(m.dir, "platform.log"), m.binaries.emulator, args...)
	for d := 1; d <= m.spec.domains; d++ {
		if err := m.buildPlatformProxy(d); err != nil {
			return err
		}
	}
	nodesInDomain := make([]int, m.spec.domains+1)
	index := 0
	for _, s := range m.spec.services {
		for i := range s.upstreams {
			d := index%m.spec.domains + 1
			index++
			nodesInDomain[d]++
			if err := m.buildNode(s, i, d, nodesInDomain[d]); err != nil {
				return err
			}
		}
	}
	return m.writeSettings()
}

func (m *Mesh) buildPlatformProxy(domain int) error {
	if !m.spec.proxied {
		return nil
	}
	p, err := baobabfault.Listen(
		fmt.Sprintf("%s.%d.254:%d", m.networkPrefix, domain, portPlatform), m.platformAddress(), m.spec.seed)
	if err != nil {
		return errors.Wrap(err, "build mesh")
	}
	p.Delay(m.spec.domainDelay, m.spec.domainJitter)
	m.platformProxies[domainName(domain)] = p
	return nil
}

// buildNode adds a node. The numbers of its failure domain and its host, counted from 1, are the last octets of its
// address.
func (m *Mesh) buildNode(s MeshService, index, domain, host int) error {
	n := &MeshNode{
		id: fmt.Sprintf("%s-%d", s.name, index+1), domain: domainName(domain), service: s,
		address: fmt.Sprintf("%s.%d.%d", m.networkPrefix, domain, host),
	}
	m.nodes = append(m.nodes, n)
	if m.spec.proxied {
		p, err := baobabfault.Listen(fmt.Sprintf("%s:%d", n.address, portPeerProxy), fmt.Sprintf("%s:%d", n.address, portPeer),
			m.spec.seed, baobabfault.WithClassifier(clientFailureDomain))
		if err != nil {
			return errors.Wrap(err, "build mesh")
		}
		n.peerProxy = p
		for d := 1; d <= m.spec.domains; d++ {
			if d != domain {
				p.From(domainName(d)).Delay(m.spec.domainDelay, m.spec.domainJitter)
			}
		}
	}
	m.buildUpstream(n, uint64(len(m.nodes)))
	return nil
}

func (m *Mesh) buildUpstream(n *MeshNode, serial uint64) {
	s := n.service
	address := fmt.Sprintf("%s:%d", n.address, portUpstream)
	announce := fmt.Sprintf("http://%s:%d", n.address, portAnnounce)
	if m.spec.embedUpstreams {
		b := DefaultUpstreamBehaviour()
		b.Slots, b.ServiceMs = s.slots, float64(s.serviceTime)/float64(time.Millisecond)
		b.WarmUpMs = s.warmUp.Milliseconds()
		n.embeddedUpstream = NewUpstream(n.UpstreamID(), s.name, WithUpstreamAddress(address), WithUpstreamNode(announce),
			WithUpstreamBehaviour(b), WithUpstreamConnections(s.connections), WithUpstreamSeed(m.spec.seed+serial))
		return
	}
	n.historyFile = filepath.Join(m.dir, n.id+".history")
	n.upstreamProcess = NewProcess(n.UpstreamID(), filepath.Join(m.dir, n.UpstreamID()+".log"), m.binaries.emulator,
		"upstream", "--id", n.UpstreamID(), "--service", s.name, "--listen", address, "--node", announce,
		"--slots", fmt.Sprint(s.slots), "--connections", fmt.Sprint(s.connections), "--service-time", s.serviceTime.String(),
		"--warm-up", s.warmUp.String(), "--seed", fmt.Sprint(m.spec.seed+serial), "--history", n.historyFile)
}

func (m *Mesh) writeSettings() error {
	var seeds []string
	for _, n := range m.nodes[:min(m.spec.staticSeeds, len(m.nodes))] {
		port := portPeer
		if n.peerProxy != nil {
			port = portPeerProxy
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", n.address, port))
	}
	for _, n := range m.nodes {
		url := "http://" + m.platformAddress()
		if p, ok := m.platformProxies[n.domain]; ok {
			url = "http://" + p.Address()
		}
		if err := n.writeSettings(m.dir, url, seeds, m.spec.peerCredentials(n.id), m.spec.nodeSettings); err != nil {
			return err
		}
		n.nodeProcess = NewProcess(n.id, filepath.Join(m.dir, n.id+".log"), m.binaries.product,
			"node", "--settings", n.settingsFile)
	}
	return nil
}

// clientFailureDomain returns the failure domain of a client. Its number is the third octet of the client's address.
func clientFailureDomain(client net.Addr) string {
	octets := strings.Split(client.String(), ".")
	if len(octets) != 4 {
		return ""
	}
	return "fd" + octets[2]
}

func (m *Mesh) platformAddress() string {
	return fmt.Sprintf("%s.0.1:%d", m.networkPrefix, portPlatform)
}

// Nodes returns all nodes in the order of their services.
func (m *Mesh) Nodes() []*MeshNode { return m.nodes }

// NodesOfService returns the nodes whose upstreams provide a service.
func (m *Mesh) NodesOfService(service string) []*MeshNode {
	var list []*MeshNode
	for _, n := range m.nodes {
		if n.service.name == service {
			list = append(list, n)
		}
	}
	return list
}

// NodesInDomain returns the nodes of a failure domain, counted from 1.
func (m *Mesh) NodesInDomain(domain int) []*MeshNode {
	var list []*MeshNode
	for _, n := range m.nodes {
		if n.domain == domainName(domain) {
			list = append(list, n)
		}
	}
	return list
}

// Platform returns the process of the platform.
func (m *Mesh) Platform() *Process { return m.platform }

// PlatformURL returns the base URL of the platform, bypassing the proxies.
func (m *Mesh) PlatformURL() string { return "http://" + m.platformAddress() }

// PlatformProxy returns the proxy between a failure domain, counted from 1, and the platform, or nil.
func (m *Mesh) PlatformProxy(domain int) *baobabfault.Proxy {
	return m.platformProxies[domainName(domain)]
}

// SetPlatformFaults changes the faults of the platform that a JSON object names.
func (m *Mesh) SetPlatformFaults(ctx context.Context, fields string) error {
	return postJSON(ctx, m.PlatformURL()+"/v1/faults", fields)
}

// CopyPlatform makes the copy from which RestorePlatform brings the platform back.
func (m *Mesh) CopyPlatform(ctx context.Context) error {
	return postJSON(ctx, m.PlatformURL()+"/v1/copy", "")
}

// RestorePlatform brings the platform back from its last copy.
func (m *Mesh) RestorePlatform(ctx context.Context) error {
	return postJSON(ctx, m.PlatformURL()+"/v1/restore", "")
}

// PlatformCounters returns the counters of the platform.
func (m *Mesh) PlatformCounters(ctx context.Context) (PlatformCounters, error) {
	var c PlatformCounters
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.PlatformURL()+"/v1/counters", nil)
	if err != nil {
		return c, errors.Wrap(err, "platform counters")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return c, errors.Wrap(err, "platform counters")
	}
	defer func() { _ = response.Body.Close() }()
	return c, errors.Wrap(json.NewDecoder(response.Body).Decode(&c), "platform counters")
}

// Start starts all processes.
func (m *Mesh) Start() error {
	if err := m.platform.Start(); err != nil {
		return err
	}
	for _, n := range m.nodes {
		time.Sleep(m.spec.startInterval)
		if err := n.nodeProcess.Start(); err != nil {
			return err
		}
		if err := n.startUpstream(); err != nil {
			return err
		}
	}
	return nil
}

// Partition disconnects a failure domain, counted from 1, from the others and from the platform.
func (m *Mesh) Partition(domain int) { m.forEachPath(domain, (*baobabfault.Path).Disconnect) }

// Heal reconnects a failure domain that Partition disconnected.
func (m *Mesh) Heal(domain int) { m.forEachPath(domain, (*baobabfault.Path).Heal) }

// forEachPath applies a change to all network paths between a failure domain and the others, and to that between the
// domain and the platform.
func (m *Mesh) forEachPath(domain int, change func(*baobabfault.Path)) {
	own := domainName(domain)
	for _, n := range m.nodes {
		if n.domain != own {
			change(n.peerProxy.From(own))
			continue
		}
		for d := 1; d <= m.spec.domains; d++ {
			if d != domain {
				change(n.peerProxy.From(domainName(d)))
			}
		}
	}
	change(m.platformProxies[own].Path)
}

// Operator returns a client of the operator API of the given nodes, or of all nodes without arguments. The caller must
// close it.
func (m *Mesh) Operator(nodes ...*MeshNode) (*baobaboperator.Client, error) {
	if len(nodes) == 0 {
		nodes = m.nodes
	}
	addresses := make([]string, len(nodes))
	for i, n := range nodes {
		addresses[i] = n.OperatorAddress()
	}
	return baobaboperator.NewClient(addresses, meshOperatorToken)
}

// PeerTransport returns a transport with the shared key of the mesh, which nodes accept as that of a peer. The caller
// must close it.
func (m *Mesh) PeerTransport() (*peer.Transport, error) {
	key, err := peer.NewSharedKey([]byte(meshPeerKey))
	if err != nil {
		return nil, errors.Wrap(err, "peer transport")
	}
	return peer.NewTransport(key), nil
}

// PlatformStore returns a client of the platform that bypasses the proxies. The caller must close it.
func (m *Mesh) PlatformStore() (*platform.Client, error) { return platform.NewClient(m.PlatformURL()) }

func (m *Mesh) countRunningNodes() int {
	count := 0
	for _, n := range m.nodes {
		if n.nodeProcess.Running() {
			count++
		}
	}
	return count
}

// Runs returns the runs of all upstreams.
func (m *Mesh) Runs() ([]UpstreamRun, error) {
	var all []UpstreamRun
	for _, n := range m.nodes {
		runs, err := n.Runs()
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// Close kills all processes and closes the proxies.
func (m *Mesh) Close() {
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(n.close)
	}
	wg.Wait()
	if m.platform != nil {
		m.platform.Kill()
	}
	for _, p := range m.platformProxies {
		_ = p.Close()
	}
	_ = m.networkLock.Close()
}
