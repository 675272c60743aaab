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

// startTimeout limits the start of a mesh.
const startTimeout = 60 * time.Second

// demoCmd starts a mesh, accepts a configuration, sends requests through the mesh and stops it.
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
		if err := sendWithRetry(ctx, entry.EntryURL(), v); err != nil {
			return err
		}
	}
	return printStatus(ctx, m)
}

// startMesh starts a mesh of an example deployment and waits until its configuration is in force at all nodes. The
// returned function stops the mesh and removes its files.
func startMesh(ctx context.Context, deployment string) (*baobabemulator.Mesh, func(), error) {
	spec, err := baobabemulator.DeploymentSpec(deployment)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "baobabmesh-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "start mesh")
	}
	fmt.Println("building")
	binaries, err := baobabemulator.BuildBinaries(dir)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, nil, err
	}
	m, err := baobabemulator.NewMesh(spec, dir, binaries)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, nil, err
	}
	cleanUp := func() {
		m.Close()
		_ = os.RemoveAll(dir)
	}
	if err := startAndConfigure(ctx, m, deployment); err != nil {
		m.Close()
		return nil, nil, errors.Wrapf(err, "logs in %s", dir)
	}
	return m, cleanUp, nil
}

// startAndConfigure starts the processes, applies the example configuration and waits until all nodes are ready and know
// all upstreams.
func startAndConfigure(ctx context.Context, m *baobabemulator.Mesh, deployment string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fmt.Printf("starting %d nodes with their upstreams and the platform\n", len(m.Nodes()))
	if err := m.Start(); err != nil {
		return err
	}
	if err := m.WaitHealthy(ctx); err != nil {
		return err
	}
	startedAt := time.Now()
	version, err := m.ApplyExample(ctx, deployment)
	if err != nil {
		return err
	}
	if err := m.WaitInForce(ctx, version.Number); err != nil {
		return err
	}
	fmt.Printf("version %s in force at all nodes %v after the first edit\n",
		version, time.Since(startedAt).Round(time.Millisecond))
	if err := m.WaitReady(ctx); err != nil {
		return err
	}
	return m.WaitUpstreams(ctx)
}

// sendWithRetry sends one request and prints the answers. While the answer to an earlier request with the same
// idempotency key is not yet recorded, it sends the request again after the delay that the refusal asks for.
func sendWithRetry(ctx context.Context, baseURL string, v baobabemulator.DemoRequest) error {
	for {
		retryAfter, err := sendRequest(ctx, baseURL, v)
		if err != nil || retryAfter == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "send request")
		case <-time.After(retryAfter):
		}
	}
}

// sendRequest sends one request and prints the answer. It returns the delay after which the request is to be sent again,
// or zero.
func sendRequest(ctx context.Context, baseURL string, v baobabemulator.DemoRequest) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, v.Method, baseURL+v.Target, strings.NewReader(v.Body))
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	for name, value := range v.Header {
		request.Header.Set(name, value)
	}
	startedAt := time.Now()
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
		response.Header.Get("Baobab-Outcome"), time.Since(startedAt).Round(10*time.Microsecond),
		strings.TrimSpace(string(body)))
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
	printFailureDomains(s)
	return nil
}

func printFailureDomains(s baobaboperator.Status) {
	for _, d := range s.FailureDomains {
		fmt.Printf("%s: %d of %d nodes at version %d\n", d.Name, d.AtVersion, d.Nodes, s.Version.Number)
	}
}
