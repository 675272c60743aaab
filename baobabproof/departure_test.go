package baobabproof

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// A departureTest plays the announcements of the upstream of one node.
type departureTest struct {
	*faultInjector
	t    *testing.T
	ctx  context.Context
	m    *baobabemulator.Mesh
	left *baobabemulator.MeshNode
}

func newDepartureTest(t *testing.T) *departureTest {
	t.Helper()
	m := startMesh(t, "booking")
	return &departureTest{
		faultInjector: newFaultInjector(t, m), t: t, ctx: testContext(t), m: m, left: m.NodesOfService("deposits")[0],
	}
}

func (d *departureTest) isReady() bool {
	v, err := d.left.Metric(d.ctx, `baobab_upstream_state{state="ready"}`)
	return err == nil && v == 1
}

// announcement returns the announcement of an upstream that has been running for a time.
func (d *departureTest) announcement(address string, age time.Duration) []byte {
	text, _ := json.Marshal(map[string]any{
		"upstream_id": d.left.UpstreamID(), "service": d.left.Service(), "address": address, "slots": 6, "connections": 130,
		"labels": map[string]string{}, "state": "ready", "started_ms_ago": age.Milliseconds(),
	})
	return text
}

// tell calls the announcement API and returns the status.
func (d *departureTest) tell(method, query string, body []byte) int {
	d.t.Helper()
	r, err := http.NewRequestWithContext(d.ctx, method, d.left.AnnounceURL()+"/v1/announce"+query, strings.NewReader(string(body)))
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *departureTest) mustTell(method, query string, body []byte) {
	d.t.Helper()
	if status := d.tell(method, query, body); status/100 != 2 {
		d.t.Fatalf("%s announcement: status %d", method, status)
	}
}

// restart kills nodes, starts them again and waits until they are ready.
func (d *departureTest) restart(nodes ...*baobabemulator.MeshNode) {
	d.t.Helper()
	killNodes(nodes...)
	for _, n := range nodes {
		if err := n.NodeProcess().Start(); err != nil {
			d.t.Fatal(err)
		}
	}
	if err := d.m.WaitReady(d.ctx, nodes...); err != nil {
		d.t.Fatal(err)
	}
}

// TestLeftUpstreamAfterMassRestart guards against an upstream that has left and gets calls again, because all nodes were
// killed after one had acknowledged its leaving and an announcement from before arrives late. An upstream that starts again
// is used.
func TestLeftUpstreamAfterMassRestart(t *testing.T) {
	t.Parallel()
	d := newDepartureTest(t)
	d.left.UpstreamProcess().Kill()
	d.restart(d.left)
	announcement := d.announcement(strings.TrimPrefix(d.left.UpstreamURL(), "http://"), time.Hour)
	d.mustTell(http.MethodPost, "", announcement)
	d.mustTell(http.MethodDelete, "?upstream_id="+url.QueryEscape(d.left.UpstreamID()), nil)
	d.restart(d.m.Nodes()...)
	if status := d.tell(http.MethodPost, "", announcement); status != http.StatusGone {
		t.Errorf("late announcement: status %d, want %d", status, http.StatusGone)
	}
	if d.isReady() {
		t.Error("the upstream is ready after it has left")
	}
	if err := d.left.UpstreamProcess().Start(); err != nil {
		t.Fatal(err)
	}
	d.waitUntil(d.ctx, "the upstream that has started again", d.isReady)
}

// TestLeavingWhilePlatformIsAway guards against an upstream whose leaving was acknowledged while the platform was away, and that
// gets calls again because all nodes were killed and an announcement from before arrives late. An upstream that is up is used
// after the restart, also under the same id.
func TestLeavingWhilePlatformIsAway(t *testing.T) {
	t.Parallel()
	d := newDepartureTest(t)
	var up atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !up.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	up.Store(true)
	d.left.UpstreamProcess().Kill()
	d.restart(d.left)
	announcement := d.announcement(address, time.Hour)
	d.mustTell(http.MethodPost, "", announcement)
	d.waitUntil(d.ctx, "the upstream after a restart of its node", d.isReady)
	if err := d.m.SetPlatformFaults(d.ctx, `{"down": true}`); err != nil {
		t.Fatal(err)
	}
	up.Store(false)
	d.mustTell(http.MethodDelete, "?upstream_id="+url.QueryEscape(d.left.UpstreamID()), nil)
	killNodes(d.m.Nodes()...)
	if err := d.m.SetPlatformFaults(d.ctx, `{"down": false}`); err != nil {
		t.Fatal(err)
	}
	d.restart(d.m.Nodes()...)
	d.mustTell(http.MethodPost, "", announcement)
	d.waitUntil(d.ctx, "a check of the announced upstream", func() bool {
		v, err := d.left.Metric(d.ctx, `baobab_upstream_verifications_total{result="failed"}`)
		return err == nil && v > 1
	})
	if d.isReady() {
		t.Error("the upstream is ready after it has left")
	}
	up.Store(true)
	d.mustTell(http.MethodPost, "", d.announcement(address, 0))
	d.waitUntil(d.ctx, "the upstream that has started again", d.isReady)
}
