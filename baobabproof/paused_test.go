package baobabproof

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestPausedNode guards against a node that acts, when it runs again after a pause, on what it was allowed before: calls of
// callers that have left meanwhile, and calls that waited for a slot until their deadline had passed.
func TestPausedNode(t *testing.T) {
	m := startMesh(t, "booking")
	t.Run("callers that left", func(t *testing.T) { checkCallersLeftPaused(t, m) })
	t.Run("queued calls", func(t *testing.T) { checkQueuedPaused(t, m) })
}

// checkCallersLeftPaused sends requests to a paused entry and closes their connections before it runs again.
func checkCallersLeftPaused(t *testing.T, m *baobabemulator.Mesh) {
	const callers, pause = 20, 2 * time.Second
	ctx := testContext(t)
	n := m.Nodes()[0]
	n.NodeProcess().Pause()
	for i := range callers {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.EntryURL(), "http://"))
		if err != nil {
			t.Fatal(err)
		}
		method := []string{http.MethodGet, http.MethodDelete}[i%2]
		_, err = fmt.Fprintf(c, "%s /availability?content=left-%d HTTP/1.1\r\nHost: h\r\nBaobab-Timeout-Ms: 300\r\n\r\n", method, i)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(300*time.Millisecond, func() { _ = c.Close() })
	}
	time.Sleep(pause) // The pause itself, not a wait for a condition.
	n.NodeProcess().Resume()
	waitUntil(ctx, t, "the resumed node answers", func() bool {
		return send(ctx, t, http.MethodGet, n.EntryURL()+"/availability?content=stayed", "", nil).status == http.StatusOK
	})
	runs, err := m.Runs()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		if strings.Contains(r.Path, "content=left-") {
			t.Errorf("%s %s ran although its caller had left before the node read it", r.Method, r.Path)
		}
	}
}

// checkQueuedPaused pauses a node while calls wait for a slot of its upstream, until their deadline has passed.
func checkQueuedPaused(t *testing.T, m *baobabemulator.Mesh) {
	const callers, patience, slack = 60, 2 * time.Second, 500 * time.Millisecond
	ctx := testContext(t)
	n := m.NodesOfService("session-records")[0]
	entry := m.NodesInDomain(n.DomainNumber())[0] // Runs all the while, so that the time of each call counts from its arrival.
	if entry == n {
		t.Fatal("the entry is the paused node")
	}
	deadline := time.Now().Add(patience)
	answers := make(chan response, callers)
	for i := range callers {
		go func() {
			url := fmt.Sprintf("%s/session-records?delay_ms=800&content=queued-%d", entry.EntryURL(), i)
			answers <- send(ctx, t, http.MethodGet, url, "", map[string]string{"Baobab-Timeout-Ms": fmt.Sprint(patience.Milliseconds())})
		}()
	}
	waitUntil(ctx, t, "calls wait for a slot", func() bool {
		queued, ok := metricValue(t, n, "baobab_admission_queued")
		return ok && queued > 0
	})
	n.NodeProcess().Pause()
	time.Sleep(time.Until(deadline) + time.Second) // The pause itself, not a wait for a condition.
	n.NodeProcess().Resume()
	for range callers {
		<-answers
	}
	waitInFlight(ctx, t, m.NodesOfService("session-records"), 0)
	runs, err := m.Runs()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		if late := time.Unix(0, r.StartNs).Sub(deadline); strings.Contains(r.Path, "content=queued-") && late > slack {
			t.Errorf("%s started %v after its deadline", r.Path, late)
		}
	}
}
