package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program and templatePath are those of the deploy file, relative to the repository's root.
	program      = "target/baobabdale"
	templatePath = "deploy/node.ini"
	// readyTimeout bounds the start of a node.
	readyTimeout = 20 * time.Second
)

// nodeSpec describes a node and the addresses of its VM.
type nodeSpec struct {
	name, zone, service              string
	ip                               string
	entry, peer, operator            string
	announce, ready, upstreamAddress string
	advertise                        string // Address at which other nodes reach the node; empty: peer.
	store                            string // Address of the store.
}

// A node is a node of the project as a process.
type node struct {
	nodeSpec
	settings string // Path of the settings file.
	bounds   string
	log      string // Path of the output.
	record   *record

	mu      sync.Mutex
	command *exec.Cmd     // Guarded by mu; nil before the first start.
	done    chan struct{} // Guarded by mu; closed when the process has ended.
}

// newNode writes the settings file of a node, which fills the template of the deploy file.
func newNode(spec nodeSpec, bounds, folder string, r *record) (*node, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node_name}}", spec.name, "{{zone}}", spec.zone, "{{region}}", "region-1",
		"{{listen.outbound}}", spec.entry, "{{ip}}:{{port_range.0}}", spec.peer, "{{ip}}:{{port_range.1}}", spec.operator,
		"{{listen.control}}", spec.announce, "{{listen.ready}}", spec.ready, "{{platform.address}}", spec.store,
		"{{service}}", spec.service, "{{app_addr}}", spec.upstreamAddress,
		"{{heartbeat_s}}", fmt.Sprint(heartbeatInterval.Seconds()), "{{limits.link_mbps}}", "1000.0",
	).Replace(string(template))
	if spec.advertise != "" {
		text = strings.Replace(text, "peer_address =", "peer_advertise_address = "+spec.advertise+"\npeer_address =", 1)
	}
	n := &node{
		nodeSpec: spec, settings: filepath.Join(folder, spec.name+".ini"), bounds: bounds,
		log: filepath.Join(folder, spec.name+".log"), record: r,
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, "--bounds", n.bounds)
	c.Env = []string{"BAOBABDALE_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	processes.add(c.Process)
	n.command, n.done = c, done
	go func() {
		err := c.Wait()
		n.record.write("%s has ended: %v", n.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	n.record.write("%v to %s", s, n.name)
	_ = n.command.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// waitReady waits until the node answers 200 at its ready address.
func (n *node) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/baobabdale/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, readyTimeout)
}
