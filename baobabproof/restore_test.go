package baobabproof

import (
	"net/http"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestAcceptAfterRestore guards against an accepted version with the number of one that the restored platform lost.
func TestAcceptAfterRestore(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	nodes := m.Nodes()
	m.acceptRoute(ctx, nodes[0])
	if err := m.CopyPlatform(ctx); err != nil {
		t.Fatal(err)
	}
	var lost uint64
	for range 3 {
		_, lost = m.acceptRoute(ctx, nodes[1])
	}
	m.waitVersion(ctx, "before the restore", lost)
	if err := m.RestorePlatform(ctx); err != nil {
		t.Fatal(err)
	}
	route, number := m.acceptRoute(ctx, nodes[2])
	if number <= lost {
		t.Errorf("version %d was accepted, nodes have %d in force", number, lost)
	}
	m.waitVersion(ctx, "after the restore", number)
	m.checkAnswered(ctx, baobabemulator.RoutePathPrefix(route), nodes...)
}

// TestKeyRunsAgainAfterRestore guards against a second run of a keyed request whose claim the restored platform lost.
func TestKeyRunsAgainAfterRestore(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	caller := baobabemulator.NewCaller("restore")
	defer caller.Close()
	if err := m.CopyPlatform(ctx); err != nil {
		t.Fatal(err)
	}
	entries := baobabemulator.EntryURLs(m.NodesOfService("availability")...)
	r := baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: "once", Caller: "club", Content: "once"}
	if first := caller.DoUntilAnswered(ctx, entries[:1], r, 50*time.Millisecond); !first.Answered() {
		t.Fatalf("first request: status %d, refusal %q, err %v", first.Status, first.Refusal, first.Err)
	}
	if err := m.RestorePlatform(ctx); err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		caller.Do(ctx, e, r)
	}
	checkHistories(t, m, caller.Records())
}
