package baobabemulator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// WaitReady waits until the given nodes, or all nodes without arguments, report that they are ready.
func (m *Mesh) WaitReady(ctx context.Context, nodes ...*MeshNode) error {
	if len(nodes) == 0 {
		nodes = m.nodes
	}
	for _, n := range nodes {
		if err := waitFor(ctx, n.id+" ready", func() bool {
			return respondsOK(ctx, "http://"+n.OperatorAddress()+"/readyz")
		}); err != nil {
			return err
		}
	}
	return nil
}

// WaitHealthy waits until the platform and all nodes answer requests.
func (m *Mesh) WaitHealthy(ctx context.Context) error {
	err := waitFor(ctx, "platform", func() bool { return respondsOK(ctx, m.PlatformURL()+"/v1/counters") })
	if err != nil {
		return err
	}
	for _, n := range m.nodes {
		if err := waitFor(ctx, n.id+" healthy", func() bool {
			return respondsOK(ctx, "http://"+n.OperatorAddress()+"/healthz")
		}); err != nil {
			return err
		}
	}
	return nil
}

// WaitInForce waits until one node reports a version or a newer one in force at all live members, and at no fewer
// members than the mesh has running nodes.
func (m *Mesh) WaitInForce(ctx context.Context, number uint64) error {
	client, err := m.Operator()
	if err != nil {
		return err
	}
	defer client.Close()
	return waitFor(ctx, fmt.Sprintf("version %d in force", number), func() bool {
		s, err := client.Status(ctx)
		if err != nil || !s.InForceEverywhere(number) {
			return false
		}
		updated, _ := s.Progress(number)
		return updated >= m.countRunningNodes()
	})
}

// WaitMembers waits until a node knows the given number of members in state alive.
func (m *Mesh) WaitMembers(ctx context.Context, at *MeshNode, count int) error {
	client, err := m.Operator(at)
	if err != nil {
		return err
	}
	defer client.Close()
	return waitFor(ctx, fmt.Sprintf("%d members at %s", count, at.id), func() bool {
		s, err := client.Status(ctx)
		if err != nil {
			return false
		}
		for _, v := range s.Members {
			if v.State == "alive" {
				return v.Count == count
			}
		}
		return false
	})
}

// WaitUpstreams waits until each node knows the endpoints of all upstreams. Nodes know each other as members before the
// upstreams have sent their first heartbeats.
func (m *Mesh) WaitUpstreams(ctx context.Context) error {
	for _, n := range m.nodes {
		if err := waitFor(ctx, "upstreams known to "+n.id, func() bool {
			v, err := n.Metric(ctx, "baobab_membership_endpoints")
			return err == nil && int(v) == len(m.nodes)
		}); err != nil {
			return err
		}
	}
	return nil
}

// WaitRun waits until an upstream has started to run a request with the given content, and returns its node.
func (m *Mesh) WaitRun(ctx context.Context, content string) (*MeshNode, error) {
	var found *MeshNode
	err := waitFor(ctx, "run of "+content, func() bool {
		for _, n := range m.nodes {
			runs, err := n.Runs()
			if err != nil {
				return false
			}
			for _, r := range runs {
				if requestContent(r.Path) == content {
					found = n
					return true
				}
			}
		}
		return false
	})
	return found, err
}

// waitFor polls a condition until it holds or ctx ends.
func waitFor(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func respondsOK(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
