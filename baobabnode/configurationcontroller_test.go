package baobabnode

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	release "github.com/baobabdale/baobabdale/baobabrelease"
)

// advancingSource returns a newer version each time the head is read.
type advancingSource struct{ number atomic.Uint64 }

func (s *advancingSource) snapshot(number uint64) *configuration.Snapshot {
	return configuration.NewSnapshot(number, configuration.EmptyDocument())
}

func (s *advancingSource) Head(context.Context) (release.Head, error) {
	n := s.number.Add(1)
	return release.NewHead(s.snapshot(n).Version(), n), nil
}

func (s *advancingSource) Confirm(_ context.Context, h release.Head) (release.Head, error) {
	return h, nil
}

func (s *advancingSource) Watch(ctx context.Context, _ time.Duration) (release.Head, error) {
	return s.Head(ctx)
}

func (s *advancingSource) Load(_ context.Context, h release.Head) (*configuration.Snapshot, error) {
	return s.snapshot(h.Version().Number()), nil
}

// TestRapidVersionsAreDebounced guards against a node that spends its CPU time on each of many versions that replace
// one another within a second, and against a node that applies none of them.
func TestRapidVersionsAreDebounced(t *testing.T) {
	board := blackboard.NewBoard()
	source := &advancingSource{}
	c := &configurationController{
		board: board, source: source, now: time.Now, logger: log.New(io.Discard), labels: configuration.NewLabels(nil),
		members: newMemberTable(board, membership.NewTable(membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))),
	}
	c.joined = make(chan struct{})
	close(c.joined)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		c.watchHead(ctx, source)
	}()
	for deadline := start.Add(30 * time.Second); board.ActiveVersion().Number() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second version does not come into force")
		}
	}
	cancel()
	<-done
	if reads, limit := source.number.Load(), uint64(time.Since(start)/changeDebounce)+2; reads > limit {
		t.Errorf("%d versions were read in %s, want at most %d", reads, time.Since(start), limit)
	}
}

// TestIsolatedNodeDelaysHeadWatch guards against nodes that start together and all watch the head, because each of them
// knows only itself at first. A node that finds no member watches the head after a delay.
func TestIsolatedNodeDelaysHeadWatch(t *testing.T) {
	board := blackboard.NewBoard()
	source := &advancingSource{}
	c := &configurationController{
		board: board, source: source, now: time.Now, logger: log.New(io.Discard), labels: configuration.NewLabels(nil),
		members: newMemberTable(board, membership.NewTable(membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))),
		joined:  make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		c.watchHead(ctx, source)
	}()
	for deadline := start.Add(30 * time.Second); source.number.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a node that finds no member does not watch the head")
		}
	}
	if waited := time.Since(start); waited < isolatedWatchDelay {
		t.Errorf("the head is watched after %s, want %s", waited, isolatedWatchDelay)
	}
	cancel()
	<-done
}
