package baobabproof

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestLostAnswersOfPopularRequest guards against refusing a request that many callers send because its answers broke off at
// several upstreams, none of which crashed.
func TestLostAnswersOfPopularRequest(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	caller := baobabemulator.NewCaller("popular")
	defer caller.Close()
	nodes := m.NodesOfService("deposits")
	request := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits", Content: "popular"}
	lost := request
	lost.Header = map[string]string{"Emulator-Truncate": "1"}
	broken := func(process string) float64 {
		sum := 0.0
		for _, n := range nodes {
			v, err := n.Metric(ctx, fmt.Sprintf("baobab_upstream_failed_calls_total{process=%q}", process))
			if err != nil {
				t.Fatal(err)
			}
			sum += v
		}
		return sum
	}
	const perUpstream = 3
	for range perUpstream {
		for _, n := range nodes {
			caller.Do(ctx, n.EntryURL(), lost) // At the upstream beside the entry.
		}
	}
	f.waitUntil(ctx, "the checks of the broken calls", func() bool {
		return broken("goes_on")+broken("ended") == float64(perUpstream*len(nodes))
	})
	if n := broken("ended"); n > 0 {
		t.Errorf("%g lost answers are taken for crashes", n)
	}
	for _, n := range nodes {
		if r := caller.Do(ctx, n.EntryURL(), request); r.Refusal != "" {
			t.Errorf("%s: refused as %s", n.ID(), r.Refusal)
		}
	}
}
