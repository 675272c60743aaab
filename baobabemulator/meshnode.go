package baobabemulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabfault"
)

// Ports of the processes of a VM, on its own IP address, and of the platform.
const (
	portEntry     = 8080
	portPeer      = 7100
	portPeerProxy = 7200
	portOperator  = 7300
	portAnnounce  = 7400
	portUpstream  = 9000
	portPlatform  = 7000
)

// A MeshNode is an emulated VM of a mesh: a node process and its upstream.
type MeshNode struct {
	id           string
	domain       string
	address      string // IP address of the VM.
	service      MeshService
	settingsFile string // Path of the node's settings file.
	historyFile  string // Path of the upstream's history file; empty for an embedded upstream.

	nodeProcess      *Process
	upstreamProcess  *Process           // Nil if the upstream is embedded.
	embeddedUpstream *Upstream          // Nil if the upstream is a process.
	peerProxy        *baobabfault.Proxy // Nil if the mesh has no proxies.
}

// ID returns the id of the node.
func (n *MeshNode) ID() string { return n.id }

// FailureDomain returns the failure domain of the VM.
func (n *MeshNode) FailureDomain() string { return n.domain }

// DomainNumber returns the number of the node's failure domain for Mesh.Partition and Mesh.Heal, counted from 1.
func (n *MeshNode) DomainNumber() int {
	var d int
	_, _ = fmt.Sscanf(n.domain, "fd%d", &d)
	return d
}

// Service returns the service of the upstream.
func (n *MeshNode) Service() string { return n.service.name }

// UpstreamID returns the id of the upstream.
func (n *MeshNode) UpstreamID() string { return "u-" + n.id }

// EntryURL returns the base URL for callers.
func (n *MeshNode) EntryURL() string { return fmt.Sprintf("http://%s:%d", n.address, portEntry) }

// PeerAddress returns the peer address of the node, bypassing its proxy.
func (n *MeshNode) PeerAddress() string { return fmt.Sprintf("%s:%d", n.address, portPeer) }

// OperatorAddress returns the address of the operator API.
func (n *MeshNode) OperatorAddress() string { return fmt.Sprintf("%s:%d", n.address, portOperator) }

// AnnounceURL returns the base URL at which the upstream announces itself.
func (n *MeshNode) AnnounceURL() string { return fmt.Sprintf("http://%s:%d", n.address, portAnnounce) }

// SettingsFile returns the path of the settings file of the node.
func (n *MeshNode) SettingsFile() string { return n.settingsFile }

// UpstreamURL returns the base URL of the upstream, for direct calls.
func (n *MeshNode) UpstreamURL() string { return fmt.Sprintf("http://%s:%d", n.address, portUpstream) }

// NodeProcess returns the node process.
func (n *MeshNode) NodeProcess() *Process { return n.nodeProcess }

// UpstreamProcess returns the upstream process, or nil if the upstream is embedded.
func (n *MeshNode) UpstreamProcess() *Process { return n.upstreamProcess }

// EmbeddedUpstream returns the embedded upstream, or nil if the upstream is a process.
func (n *MeshNode) EmbeddedUpstream() *Upstream { return n.embeddedUpstream }

// PeerProxy returns the proxy in front of the node's peer address, or nil.
func (n *MeshNode) PeerProxy() *baobabfault.Proxy { return n.peerProxy }

// SetBehaviour changes the fields of the upstream's behaviour that a JSON object names.
func (n *MeshNode) SetBehaviour(ctx context.Context, fields string) error {
	return postJSON(ctx, n.UpstreamURL()+"/v1/behaviour", fields)
}

// Metric returns the value of a metric that the node exports.
func (n *MeshNode) Metric(ctx context.Context, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorAddress()+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "read metric")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "read metric")
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Errorf("read metric: %s does not exist", name)
}

// Runs returns the runs of the upstream, including those before a restart of its process.
func (n *MeshNode) Runs() ([]UpstreamRun, error) {
	if n.embeddedUpstream != nil {
		return n.embeddedUpstream.History().Runs(), nil
	}
	data, err := os.ReadFile(n.historyFile)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	return parseRuns(data, n.id)
}

// parseRuns parses a history file, in which the last line of a run holds its result. An incomplete last line, which a
// killed process may leave, is ignored.
func parseRuns(data []byte, nodeID string) ([]UpstreamRun, error) {
	indexByKey := map[string]int{}
	var runs []UpstreamRun
	for line := range strings.Lines(string(data)) {
		if !strings.HasSuffix(line, "\n") {
			break
		}
		var r UpstreamRun
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			return nil, errors.Wrapf(err, "read history of %s", nodeID)
		}
		key := fmt.Sprintf("%s/%d/%d", r.CallID, r.Serial, r.StartNs)
		if i, ok := indexByKey[key]; ok {
			runs[i] = r
			continue
		}
		indexByKey[key] = len(runs)
		runs = append(runs, r)
	}
	return runs, nil
}

// writeSettings writes the node's settings file. The texts credentials and extraSettings are INI lines.
func (n *MeshNode) writeSettings(dir, platformURL string, seeds []string, credentials, extraSettings string) error {
	advertisedPort := portPeer
	if n.peerProxy != nil {
		advertisedPort = portPeerProxy
	}
	text := fmt.Sprintf(`[node]
id = %s
failure_domain = %s
region = region-1

[listen]
entry_address = %s:%d
peer_address = %s:%d
peer_advertise_address = %s:%d
operator_address = %s:%d
announce_address = %s:%d

[platform]
url = %s

[peers]
%s
`, n.id, n.domain, n.address, portEntry, n.address, portPeer, n.address, advertisedPort, n.address, portOperator,
		n.address, portAnnounce, platformURL, credentials)
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ", ") + "\n"
	}
	text += "\n[operator]\ntoken_file = operator.token\n\n" + extraSettings
	n.settingsFile = filepath.Join(dir, n.id+".ini")
	return errors.Wrap(os.WriteFile(n.settingsFile, []byte(text), 0o600), "write settings")
}

func (n *MeshNode) startUpstream() error {
	if n.embeddedUpstream != nil {
		return n.embeddedUpstream.Start()
	}
	return n.upstreamProcess.Start()
}

func (n *MeshNode) close() {
	if n.nodeProcess != nil {
		n.nodeProcess.Kill()
	}
	if n.upstreamProcess != nil {
		n.upstreamProcess.Kill()
	}
	if n.embeddedUpstream != nil {
		n.embeddedUpstream.Close()
	}
	if n.peerProxy != nil {
		_ = n.peerProxy.Close()
	}
}

func postJSON(ctx context.Context, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return errors.Wrap(err, "post "+url)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "post "+url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("post %s: status %d", url, response.StatusCode)
	}
	return nil
}

// EntryURLs returns the base URLs for callers of the given nodes.
func EntryURLs(nodes ...*MeshNode) []string {
	urls := make([]string, len(nodes))
	for i, n := range nodes {
		urls[i] = n.EntryURL()
	}
	return urls
}
