package baobabproof

import (
	"net/http"
	"testing"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestPath guards against a break anywhere on the path from operator to node and from caller to upstream: each node
// must serve each service, even while another failure domain is cut off.
func TestPath(t *testing.T) {
	m := startMesh(t, "booking")
	caller := baobabemulator.NewCaller("path")
	defer caller.Close()
	ctx := testContext(t)
	serve := func(nodes []*baobabemulator.MeshNode, when string) {
		for _, n := range nodes {
			for _, r := range []baobabemulator.CallerRequest{
				{Method: http.MethodGet, Path: "/availability"},
				{Method: http.MethodGet, Path: "/session-records", Query: "size=100000"},
				{Method: http.MethodPost, Path: "/deposits", Key: "key-" + when + n.ID(), Caller: "club"},
			} {
				if record := caller.Do(ctx, n.EntryURL(), r); !record.Answered() {
					t.Errorf("%s: %s %s through %s: status %d, refusal %q, err %v", when, r.Method, r.Path, n.ID(),
						record.Status, record.Refusal, record.Err)
				}
			}
		}
	}
	serve(m.Nodes(), "whole")
	m.Partition(3)
	serve(append(m.NodesInDomain(1), m.NodesInDomain(2)...), "cut")
	m.Heal(3)
	if err := m.WaitMembers(ctx, m.NodesInDomain(3)[0], len(m.Nodes())); err != nil {
		t.Error(err)
	}
	checkHistories(t, m, caller.Records())
}
