package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	call "github.com/baobabdale/baobabdale/baobabcall"
	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
)

// startTimeout bounds the start of a mesh.
const startTimeout = 60 * time.Second

// demoCmd starts a mesh, accepts a configuration, sends requests through it, and stops.
type demoCmd struct {
	Deployment string `arg:"--deployment" default:"booking" help:"booking or repair"`
}

func (c *demoCmd) run(ctx context.Context) error {
	m, cleanUp, err := startMesh(ctx, c.Deployment)
	if err != nil {
		return err
	}
	defer cleanUp()
	entry := m.Nodes()[len(m.Nodes())-1]
	for _, v := range baobabemulator.DemoRequests(c.Deployment) {
		if err := send(ctx, entry.EntryURL(), v); err != nil {
			return err
		}
	}
	return printStatus(ctx, m)
}

// runCmd starts a mesh and keeps it until interrupted.
type runCmd struct {
	Deployment string `arg:"--deployment" default:"booking" help:"booking or repair"`
}

func (c *runCmd) run(ctx context.Context) error {
	m, cleanUp, err := startMesh(ctx, c.Deployment)
	if err != nil {
		return err
	}
	defer cleanUp()
	for _, n := range m.Nodes() {
		fmt.Printf("%-18s %s  callers %s  operators %s\n", n.ID(), n.FailureDomain(), n.EntryURL(), n.OperatorAddress())
	}
	fmt.Printf("operator token: %s\n", m.TokenFile())
	<-ctx.Done()
	return nil
}

// startMesh starts a mesh of one of the example deployments, with its configuration in force everywhere.
func startMesh(ctx context.Context, deployment string) (*baobabemulator.Mesh, func(), error) {
	spec, err := baobabemulator.DeploymentSpec(deployment)
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "baobabmesh-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "start mesh")
	}
	fmt.Println("building")
	binaries, err := baobabemulator.BuildBinaries(folder)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	m, err := baobabemulator.NewMesh(spec, folder, binaries)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	cleanUp := func() {
		m.Close()
		_ = os.RemoveAll(folder)
	}
	if err := bringUp(ctx, m, deployment); err != nil {
		m.Close()
		return nil, nil, errors.Wrapf(err, "logs in %s", folder)
	}
	return m, cleanUp, nil
}

func bringUp(ctx context.Context, m *baobabemulator.Mesh, deployment string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fmt.Printf("starting %d nodes with their upstreams and the platform\n", len(m.Nodes()))
	if err := m.Start(); err != nil {
		return err
	}
	if err := m.WaitHealthy(ctx); err != nil {
		return err
	}
	begin := time.Now()
	version, err := m.ApplyExample(ctx, deployment)
	if err != nil {
		return err
	}
	if err := m.WaitInForce(ctx, version.Number); err != nil {
		return err
	}
	fmt.Printf("version %s in force at all nodes %v after the first edit\n", version, time.Since(begin).Round(time.Millisecond))
	if err := m.WaitReady(ctx); err != nil {
		return err
	}
	return m.WaitUpstreams(ctx)
}

// send sends one request and prints the answer. While the answer to an earlier request under the same key is being
// recorded, it waits as long as the refusal asks for and sends the request again.
func send(ctx context.Context, base string, v baobabemulator.DemoRequest) error {
	for {
		wait, err := sendOnce(ctx, base, v)
		if err != nil || wait == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "send request")
		case <-time.After(wait):
		}
	}
}

// sendOnce returns after what time the request is to be sent again, or zero.
func sendOnce(ctx context.Context, base string, v baobabemulator.DemoRequest) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, v.Method, base+v.Target, strings.NewReader(v.Body))
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	for name, value := range v.Header {
		request.Header.Set(name, value)
	}
	begin := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	fmt.Printf("%s %s -> %d, outcome %s, %v\n    %s\n", v.Method, v.Target, response.StatusCode,
		response.Header.Get("Baobab-Outcome"), time.Since(begin).Round(10*time.Microsecond), strings.TrimSpace(string(body)))
	if response.StatusCode == http.StatusOK {
		return 0, nil
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if response.Header.Get("Baobab-Refusal") != string(call.ReasonInProgress) || err != nil || seconds <= 0 {
		return 0, errors.Errorf("send request: status %d", response.StatusCode)
	}
	return time.Duration(seconds) * time.Second, nil
}

func printStatus(ctx context.Context, m *baobabemulator.Mesh) error {
	client, err := m.Operator()
	if err != nil {
		return err
	}
	defer client.Close()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	printDomains(s)
	return nil
}

func printDomains(s baobaboperator.Status) {
	for _, d := range s.FailureDomains {
		fmt.Printf("%s: %d of %d nodes at version %d\n", d.Name, d.AtVersion, d.Nodes, s.Version.Number)
	}
}
