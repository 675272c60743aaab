package baobabemulator

import (
	"context"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// maxCommandNodes limits the number of nodes that are passed to the command line.
const maxCommandNodes = 5

// DeploymentSpec returns the specification of an example deployment in docs/examples, "booking" or "repair".
func DeploymentSpec(name string, options ...MeshOption) (*MeshSpec, error) {
	const warmUp = 2 * time.Second
	switch name {
	case "booking":
		return NewMeshSpec(3, []MeshService{
			NewMeshService("availability", 4, 6, 130, 4*time.Millisecond).WithWarmUp(warmUp),
			NewMeshService("deposits", 3, 6, 130, 10*time.Millisecond).WithWarmUp(warmUp),
			NewMeshService("reservations", 3, 6, 130, 8*time.Millisecond).WithWarmUp(warmUp),
			NewMeshService("session-records", 3, 6, 130, 15*time.Millisecond).WithWarmUp(warmUp),
		}, options...), nil
	case "repair":
		return NewMeshSpec(3, []MeshService{
			NewMeshService("archive", 3, 18, 120, 20*time.Millisecond).WithWarmUp(warmUp),
			NewMeshService("canvas-purchasing", 3, 18, 120, 12*time.Millisecond).WithWarmUp(warmUp),
			NewMeshService("dispatch", 3, 18, 120, 10*time.Millisecond).WithWarmUp(warmUp),
			NewMeshService("quotes", 3, 18, 120, 5*time.Millisecond).WithWarmUp(warmUp),
		}, options...), nil
	default:
		return nil, errors.Errorf("deployment %q does not exist; use booking or repair", name)
	}
}

// ApplyExample applies the configuration of an example deployment and accepts it.
func (m *Mesh) ApplyExample(ctx context.Context, deployment string) (baobaboperator.Version, error) {
	file := filepath.Join(m.binaries.module, "docs", "examples", deployment+".json")
	if out, err := m.RunCommand(ctx, "apply", file); err != nil {
		return baobaboperator.Version{}, errors.Wrapf(err, "apply example: %s", out)
	}
	return m.Accept(ctx)
}

// Accept accepts the candidate through any node.
func (m *Mesh) Accept(ctx context.Context) (baobaboperator.Version, error) {
	client, err := m.Operator()
	if err != nil {
		return baobaboperator.Version{}, err
	}
	defer client.Close()
	accepted, err := client.Accept(ctx, baobaboperator.NewOperationID(), "")
	return accepted.Version, err
}

// RunCommand runs the baobabdale program with the nodes of the mesh as its targets and returns its output.
func (m *Mesh) RunCommand(ctx context.Context, args ...string) (string, error) {
	all := []string{"--token-file", m.TokenFile()}
	for _, n := range m.nodes[:min(maxCommandNodes, len(m.nodes))] {
		all = append(all, "--node", n.OperatorAddress())
	}
	out, err := exec.CommandContext(ctx, m.binaries.product, append(all, args...)...).CombinedOutput()
	return string(out), err
}

// TokenFile returns the path of the file with the operator token.
func (m *Mesh) TokenFile() string { return filepath.Join(m.dir, "operator.token") }
