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
	// meshKey and meshToken authenticate the processes of a mesh on loopback.
	meshKey   = "shared key of a mesh on loopback"
	meshToken = "operator token of a mesh on loopback"
	// portLock is bound while a mesh uses a network, so that meshes of several launchers stay apart.
	portLock = 7999
	// pollPause is the pause between two looks at a condition.
	pollPause = 20 * time.Millisecond
)

// A Mesh is a set of real processes on loopback: the platform, upstreams and nodes, with fault-injecting proxies
// before them.
type Mesh struct {
	spec     *MeshSpec
	folder   string
	binaries Binaries
	network  string // The first two octets of all addresses.
	lock     net.Listener
	platform *Process
	nodes    []*MeshNode
	proxies  map[string]*baobabfault.Proxy // Before the platform, by failure domain.
}

// NewMesh prepares a mesh whose files go to a folder. The caller must close it.
func NewMesh(spec *MeshSpec, folder string, binaries Binaries) (*Mesh, error) {
	m := &Mesh{spec: spec, folder: folder, binaries: binaries, proxies: map[string]*baobabfault.Proxy{}}
	if err := m.reserve(); err != nil {
		return nil, err
	}
	if err := m.build(); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

// reserve takes a network of loopback addresses that no other mesh uses.
func (m *Mesh) reserve() error {
	const tries = 100
	for range tries {
		network := fmt.Sprintf("127.%d", 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, portLock))
		if err == nil {
			m.network, m.lock = network, l
			return nil
		}
	}
	return errors.New("reserve network: none is free")
}

func (m *Mesh) build() error {
	for name, text := range map[string]string{"peer.key": meshKey, "operator.token": meshToken} {
		if err := os.WriteFile(filepath.Join(m.folder, name), []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "build mesh")
		}
	}
	args := []string{"platform", "--listen", m.platformAddress()}
	if m.spec.platformWrites > 0 {
		args = append(args, "--writes", fmt.Sprint(m.spec.platformWrites), "--reads", fmt.Sprint(m.spec.platformReads))
	}
	m.platform = NewProcess("platform", filepath.Join(m.folder, "platform.log"), m.binaries.standin, args...)
	for d := 1; d <= m.spec.domains; d++ {
		if err := m.buildPlatformProxy(d); err != nil {
			return err
		}
	}
	count := make([]int, m.spec.domains+1)
	index := 0
	for _, s := range m.spec.services {
		for i := range s.upstreams {
			d := index%m.spec.domains + 1
			index++
			count[d]++
			if err := m.buildNode(s, i, d, count[d]); err != nil {
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
	p, err := baobabfault.Listen(fmt.Sprintf("%s.%d.254:%d", m.network, domain, portPlatform), m.platformAddress(), m.spec.seed)
	if err != nil {
		return errors.Wrap(err, "build mesh")
	}
	p.Delay(m.spec.domainDelay, m.spec.domainJitter)
	m.proxies[domainName(domain)] = p
	return nil
}

func (m *Mesh) buildNode(s MeshService, index, domain, number int) error {
	n := &MeshNode{
		id: fmt.Sprintf("%s-%d", s.name, index+1), domain: domainName(domain), service: s,
		address: fmt.Sprintf("%s.%d.%d", m.network, domain, number),
	}
	m.nodes = append(m.nodes, n)
	if m.spec.proxied {
		p, err := baobabfault.Listen(fmt.Sprintf("%s:%d", n.address, portAdvertise), fmt.Sprintf("%s:%d", n.address, portPeer),
			m.spec.seed, baobabfault.WithClassify(classOf))
		if err != nil {
			return errors.Wrap(err, "build mesh")
		}
		n.proxy = p
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
		b.WarmMs = s.warmUp.Milliseconds()
		n.embedded = NewUpstream(n.UpstreamID(), s.name, WithUpstreamAddress(address), WithUpstreamNode(announce),
			WithUpstreamBehaviour(b), WithUpstreamConnections(s.connections), WithUpstreamSeed(m.spec.seed+serial))
		return
	}
	n.history = filepath.Join(m.folder, n.id+".history")
	n.upstream = NewProcess(n.UpstreamID(), filepath.Join(m.folder, n.UpstreamID()+".log"), m.binaries.standin,
		"upstream", "--id", n.UpstreamID(), "--service", s.name, "--listen", address, "--node", announce,
		"--slots", fmt.Sprint(s.slots), "--connections", fmt.Sprint(s.connections), "--service-time", s.serviceTime.String(),
		"--warm-up", s.warmUp.String(), "--seed", fmt.Sprint(m.spec.seed+serial), "--history", n.history)
}

func (m *Mesh) writeSettings() error {
	var seeds []string
	for _, n := range m.nodes[:min(m.spec.staticSeedNodes, len(m.nodes))] {
		port := portPeer
		if n.proxy != nil {
			port = portAdvertise
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", n.address, port))
	}
	for _, n := range m.nodes {
		url := "http://" + m.platformAddress()
		if p, ok := m.proxies[n.domain]; ok {
			url = "http://" + p.Address()
		}
		if err := n.writeSettings(m.folder, url, seeds, m.spec.credentials(n.id), m.spec.nodeSettings); err != nil {
			return err
		}
		n.process = NewProcess(n.id, filepath.Join(m.folder, n.id+".log"), m.binaries.product, "node", "--settings", n.settings)
	}
	return nil
}

// classOf returns the failure domain of a client, which is the third octet of its address.
func classOf(client net.Addr) string {
	octets := strings.Split(client.String(), ".")
	if len(octets) != 4 {
		return ""
	}
	return "fd" + octets[2]
}

func (m *Mesh) platformAddress() string { return fmt.Sprintf("%s.0.1:%d", m.network, portPlatform) }

// Nodes returns all nodes, in the order of services.
func (m *Mesh) Nodes() []*MeshNode { return m.nodes }

// NodesOf returns the nodes of a service.
func (m *Mesh) NodesOf(service string) []*MeshNode {
	var list []*MeshNode
	for _, n := range m.nodes {
		if n.service.name == service {
			list = append(list, n)
		}
	}
	return list
}

// NodesIn returns the nodes of a failure domain, counted from 1.
func (m *Mesh) NodesIn(domain int) []*MeshNode {
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

// PlatformURL returns the base URL of the platform, not through a proxy.
func (m *Mesh) PlatformURL() string { return "http://" + m.platformAddress() }

// PlatformProxy returns the proxy between a failure domain, counted from 1, and the platform, or nil.
func (m *Mesh) PlatformProxy(domain int) *baobabfault.Proxy { return m.proxies[domainName(domain)] }

// SetPlatformFaults changes faults of the platform, given as JSON.
func (m *Mesh) SetPlatformFaults(ctx context.Context, fields string) error {
	return postJSON(ctx, m.PlatformURL()+"/v1/faults", fields)
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
		time.Sleep(m.spec.startPause)
		if err := n.process.Start(); err != nil {
			return err
		}
		if err := n.startUpstream(); err != nil {
			return err
		}
	}
	return nil
}

func (n *MeshNode) startUpstream() error {
	if n.embedded != nil {
		return n.embedded.Start()
	}
	return n.upstream.Start()
}

// Cut cuts a failure domain, counted from 1, off from the others and from the platform.
func (m *Mesh) Cut(domain int) { m.eachPath(domain, (*baobabfault.Path).Cut) }

// Heal joins a failure domain again.
func (m *Mesh) Heal(domain int) { m.eachPath(domain, (*baobabfault.Path).Heal) }

// eachPath applies a change to all paths between a failure domain and the rest.
func (m *Mesh) eachPath(domain int, change func(*baobabfault.Path)) {
	own := domainName(domain)
	for _, n := range m.nodes {
		if n.domain != own {
			change(n.proxy.From(own))
			continue
		}
		for d := 1; d <= m.spec.domains; d++ {
			if d != domain {
				change(n.proxy.From(domainName(d)))
			}
		}
	}
	change(m.proxies[own].Path)
}

// Operator returns a client of the operators' API of the given nodes, or of all. The caller must close it.
func (m *Mesh) Operator(nodes ...*MeshNode) (*baobaboperator.Client, error) {
	if len(nodes) == 0 {
		nodes = m.nodes
	}
	addresses := make([]string, len(nodes))
	for i, n := range nodes {
		addresses[i] = n.OperatorAddress()
	}
	return baobaboperator.NewClient(addresses, meshToken)
}

// PeerTransport returns a transport that the nodes take for that of a node. The caller must close it.
func (m *Mesh) PeerTransport() (*peer.Transport, error) {
	key, err := peer.NewSharedKey([]byte(meshKey))
	if err != nil {
		return nil, errors.Wrap(err, "peer transport")
	}
	return peer.NewTransport(key), nil
}

// PlatformStore returns a client of the platform, not through a proxy. The caller must close it.
func (m *Mesh) PlatformStore() (*platform.Client, error) { return platform.NewClient(m.PlatformURL()) }

func (m *Mesh) running() int {
	count := 0
	for _, n := range m.nodes {
		if n.process.Running() {
			count++
		}
	}
	return count
}

// Runs returns what all upstreams have run.
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

// EntryURLs returns the base URLs for callers of some nodes.
func EntryURLs(nodes ...*MeshNode) []string {
	urls := make([]string, len(nodes))
	for i, n := range nodes {
		urls[i] = n.EntryURL()
	}
	return urls
}

// Domain returns the failure domain of the node as Mesh.Cut and Mesh.Heal count it.
func (n *MeshNode) Domain() int {
	var d int
	_, _ = fmt.Sscanf(n.domain, "fd%d", &d)
	return d
}

// Close kills all processes.
func (m *Mesh) Close() {
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(n.close)
	}
	wg.Wait()
	if m.platform != nil {
		m.platform.Kill()
	}
	for _, p := range m.proxies {
		_ = p.Close()
	}
	_ = m.lock.Close()
}

func (n *MeshNode) close() {
	if n.process != nil {
		n.process.Kill()
	}
	if n.upstream != nil {
		n.upstream.Kill()
	}
	if n.embedded != nil {
		n.embedded.Close()
	}
	if n.proxy != nil {
		_ = n.proxy.Close()
	}
}
