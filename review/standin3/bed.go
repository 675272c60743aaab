package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	readyPause   = 50 * time.Millisecond
)

// bedPaths holds the files that a case uses.
type bedPaths struct{ program, template, logs string }

// A bed is a small deployment on loopback addresses: machines with a node and an upstream each, and the store.
type bed struct {
	record    *recorder
	paths     bedPaths
	directory string // Temporary; settings files and logs.
	network   string // First three bytes of all addresses.
	port      int    // First port; the same on all machines.
	store     *store
	machines  []*machine
}

// Ports of a machine, relative to the first one.
const (
	portPeer = iota
	portOperator
	portApp
	portOutbound
	portInbound
	portReady
	portControl
	portStore
	portCount
)

func newBed(recordPath string, paths bedPaths) (*bed, error) {
	r, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{record: r, paths: paths, directory: directory}
	if paths.logs == "" {
		b.paths.logs = directory
	}
	for range 50 {
		b.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		b.port = 12000 + rand.IntN(1500)*portCount
		if b.store, err = newStore(b.address(250, portStore)); err == nil {
			return b, nil
		}
	}
	return nil, errors.Join(errors.New("no free address"), err)
}

// address returns the address of a port of the machine with a number.
func (b *bed) address(number, port int) string {
	return net.JoinHostPort(b.ip(number), fmt.Sprint(b.port+port))
}

func (b *bed) ip(number int) string { return fmt.Sprintf("%s.%d", b.network, number) }

// addMachine adds a machine whose node and upstream are not started.
func (b *bed) addMachine(zone, service string, slots int) *machine {
	number := len(b.machines) + 1
	m := &machine{
		bed: b, number: number, name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service,
	}
	m.upstream = newUpstream(m, fmt.Sprintf("i-%04x%04x", rand.IntN(1<<16), number), slots)
	b.machines = append(b.machines, m)
	return m
}

// start starts all upstreams and nodes and waits until the nodes are ready and know each other's upstreams.
func (b *bed) start() error {
	for _, m := range b.machines {
		if err := m.upstream.start(); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range b.machines {
		if err := m.waitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the case has started.
func (b *bed) close() {
	for _, m := range b.machines {
		m.upstream.stop()
		m.killNode()
	}
	if b.store != nil {
		b.store.close()
	}
	b.record.close()
	_ = os.RemoveAll(b.directory)
}
