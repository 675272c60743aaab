package baobabnode

import (
	"context"
	"sync"
	"testing"
	"time"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// TestBroadcastVersionIsProcessedOnce guards against a node that spends its CPU time on a version several times, because it
// comes from two members and is fetched as well, and against a sender that waits until the version is in force.
func TestBroadcastVersionIsProcessedOnce(t *testing.T) {
	board := blackboard.NewBoard()
	source := &advancingSource{}
	c := newTestConfigurationController(board, source)
	if err := c.install(source.snapshot(4), viaSource); err != nil {
		t.Fatal(err)
	}
	delta, err := configuration.NewDelta(source.snapshot(4), source.snapshot(5)).Encode()
	if err != nil {
		t.Fatal(err)
	}
	update := &wire.ConfigurationUpdate{Version: toWireVersion(source.snapshot(5).Version()), BaseNumber: 4, Delta: delta}
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	loops.Go(func() { c.processUpdates(ctx) })
	c.intake.Lock() // Another content is being processed.
	c.receiveUpdate(update, "")
	c.receiveUpdate(update, "")
	c.receiveHead(c.bootTime(), &wire.HeadUpdate{Version: update.GetVersion()}, "")
	if n := len(c.fetchRequests); n > 0 {
		t.Errorf("%d fetches of a version whose content is there", n)
	}
	c.intake.Unlock()
	for deadline := time.Now().Add(30 * time.Second); c.arrived.cover(5); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the updates are not processed")
		}
	}
	if n := board.ActiveVersion().Number(); n != 5 {
		t.Errorf("version %d is in force, want 5", n)
	}
	if processed, superseded := c.contents.processed.Get(), c.contents.superseded.Get(); processed != 1 || superseded != 1 {
		t.Errorf("%d contents processed and %d superseded, want 1 of each", processed, superseded)
	}
}

// TestUnusableUpdateIsFetched guards against a version that is never fetched because its broadcast content is useless.
func TestUnusableUpdateIsFetched(t *testing.T) {
	source := &advancingSource{}
	c := newTestConfigurationController(blackboard.NewBoard(), source)
	update := &wire.ConfigurationUpdate{Version: toWireVersion(source.snapshot(5).Version()), Delta: []byte("no delta")}
	c.receiveUpdate(update, "")
	c.applyUpdate(<-c.updates)
	if c.arrived.cover(1) || len(c.fetchRequests) != 1 {
		t.Errorf("after an unusable update: still arriving %t, %d fetches queued, want 1", c.arrived.cover(1), len(c.fetchRequests))
	}
	if c.arrives(t.Context(), 5) {
		t.Error("a version that nobody sends arrives")
	}
	if err := c.install(source.snapshot(5), viaSource); err != nil {
		t.Fatal(err)
	}
	if !c.arrives(t.Context(), 5) {
		t.Error("the version in force does not count")
	}
}
