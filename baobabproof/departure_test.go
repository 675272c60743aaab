package baobabproof

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestLeftUpstreamAfterMassRestart guards against an upstream that has left and gets calls again, because all nodes were
// killed after one had acknowledged its leaving and an announcement from before arrives late. An upstream that starts again
// is used.
func TestLeftUpstreamAfterMassRestart(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	left := m.NodesOfService("deposits")[0]
	isReady := func() bool {
		v, err := left.Metric(ctx, `baobab_upstream_state{state="ready"}`)
		return err == nil && v == 1
	}
	tell := func(method, query string, body []byte) int {
		t.Helper()
		r, err := http.NewRequestWithContext(ctx, method, left.AnnounceURL()+"/v1/announce"+query, strings.NewReader(string(body)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	restart := func(nodes ...*baobabemulator.MeshNode) {
		t.Helper()
		killNodes(nodes...)
		for _, n := range nodes {
			if err := n.NodeProcess().Start(); err != nil {
				t.Fatal(err)
			}
		}
		if err := m.WaitReady(ctx, nodes...); err != nil {
			t.Fatal(err)
		}
	}
	left.UpstreamProcess().Kill()
	restart(left)
	announcement, _ := json.Marshal(map[string]any{
		"upstream_id": left.UpstreamID(), "service": left.Service(), "address": strings.TrimPrefix(left.UpstreamURL(), "http://"),
		"slots": 6, "connections": 130, "labels": map[string]string{}, "state": "ready", "started_ms_ago": time.Hour.Milliseconds(),
	})
	if status := tell(http.MethodPost, "", announcement); status/100 != 2 {
		t.Fatalf("announcement: status %d", status)
	}
	if status := tell(http.MethodDelete, "?upstream_id="+url.QueryEscape(left.UpstreamID()), nil); status/100 != 2 {
		t.Fatalf("leaving: status %d", status)
	}
	restart(m.Nodes()...)
	if status := tell(http.MethodPost, "", announcement); status != http.StatusGone {
		t.Errorf("late announcement: status %d, want %d", status, http.StatusGone)
	}
	if isReady() {
		t.Error("the upstream is ready after it has left")
	}
	if err := left.UpstreamProcess().Start(); err != nil {
		t.Fatal(err)
	}
	f.waitUntil(ctx, "the upstream that has started again", isReady)
}
