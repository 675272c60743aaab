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

// Ports of a node and its upstream on the node's own IP address.
const (
	portEntry     = 8080
	portPeer      = 7100
	portAdvertise = 7200
	portOperator  = 7300
	portAnnounce  = 7400
	portUpstream  = 9000
	portPlatform  = 7000
)

// A MeshNode is one VM of a mesh: a node process and its upstream.
type MeshNode struct {
	id       string
	domain   string
	address  string // IP address.
	service  MeshService
	settings string // Path of the settings file.
	history  string // Path of the upstream's history file; empty for an embedded upstream.

	process  *Process
	upstream *Process           // Nil for an embedded upstream.
	embedded *Upstream          // Nil for an upstream process.
	proxy    *baobabfault.Proxy // Nil without proxies.
}

// ID returns the id of the node.
func (n *MeshNode) ID() string { return n.id }

// FailureDomain returns the failure domain of the VM.
func (n *MeshNode) FailureDomain() string { return n.domain }

// Service returns the name of the upstream's service.
func (n *MeshNode) Service() string { return n.service.name }

// UpstreamID returns the id of the upstream.
func (n *MeshNode) UpstreamID() string { return "u-" + n.id }

// EntryURL returns the base URL for callers.
func (n *MeshNode) EntryURL() string { return fmt.Sprintf("http://%s:%d", n.address, portEntry) }

// OperatorAddress returns the address of the operators' API.
func (n *MeshNode) OperatorAddress() string { return fmt.Sprintf("%s:%d", n.address, portOperator) }

// SettingsFile returns the path of the settings file of the node.
func (n *MeshNode) SettingsFile() string { return n.settings }

// UpstreamURL returns the base URL of the upstream, for direct calls.
func (n *MeshNode) UpstreamURL() string { return fmt.Sprintf("http://%s:%d", n.address, portUpstream) }

// Node returns the process of the node.
func (n *MeshNode) Node() *Process { return n.process }

// Upstream returns the process of the upstream, or nil when it is embedded.
func (n *MeshNode) Upstream() *Process { return n.upstream }

// Embedded returns the embedded upstream, or nil when it is a process.
func (n *MeshNode) Embedded() *Upstream { return n.embedded }

// Proxy returns the proxy before the node's peer address, or nil.
func (n *MeshNode) Proxy() *baobabfault.Proxy { return n.proxy }

// SetBehaviour changes fields of the upstream's behaviour, given as JSON.
func (n *MeshNode) SetBehaviour(ctx context.Context, fields string) error {
	return postJSON(ctx, n.UpstreamURL()+"/v1/behaviour", fields)
}

// Metric returns the value of a metric of the node.
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

// Runs returns what the upstream has run, over all its processes.
func (n *MeshNode) Runs() ([]UpstreamRun, error) {
	if n.embedded != nil {
		return n.embedded.History().Runs(), nil
	}
	data, err := os.ReadFile(n.history)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	return parseRuns(data, n.id)
}

// parseRuns reads a history file, in which the last line of a run tells how it ended. A process that was killed may
// have left an incomplete last line.
func parseRuns(data []byte, process string) ([]UpstreamRun, error) {
	byKey := map[string]int{}
	var runs []UpstreamRun
	for line := range strings.Lines(string(data)) {
		if !strings.HasSuffix(line, "\n") {
			break
		}
		var r UpstreamRun
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			return nil, errors.Wrapf(err, "read history of %s", process)
		}
		key := fmt.Sprintf("%s/%d/%d", r.CallID, r.Serial, r.StartNs)
		if i, ok := byKey[key]; ok {
			runs[i] = r
			continue
		}
		byKey[key] = len(runs)
		runs = append(runs, r)
	}
	return runs, nil
}

// writeSettings writes the INI file of the node.
func (n *MeshNode) writeSettings(folder, platformURL string, seeds []string, credentials, extra string) error {
	advertise := portPeer
	if n.proxy != nil {
		advertise = portAdvertise
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
`, n.id, n.domain, n.address, portEntry, n.address, portPeer, n.address, advertise, n.address, portOperator,
		n.address, portAnnounce, platformURL, credentials)
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ", ") + "\n"
	}
	text += "\n[operator]\ntoken_file = operator.token\n\n" + extra
	n.settings = filepath.Join(folder, n.id+".ini")
	return errors.Wrap(os.WriteFile(n.settings, []byte(text), 0o600), "write settings")
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

// PeerAddress returns the address at which other nodes reach the node, past its proxy.
func (n *MeshNode) PeerAddress() string { return fmt.Sprintf("%s:%d", n.address, portPeer) }
