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

// stormSource has a newer version at each look.
type stormSource struct{ number atomic.Uint64 }

func (s *stormSource) snapshot(number uint64) *configuration.Snapshot {
	return configuration.NewSnapshot(number, configuration.EmptyDocument())
}

func (s *stormSource) Head(context.Context) (release.Head, error) {
	n := s.number.Add(1)
	return release.NewHead(s.snapshot(n).Version(), n), nil
}

func (s *stormSource) Confirm(_ context.Context, h release.Head) (release.Head, error) { return h, nil }

func (s *stormSource) Watch(ctx context.Context) (release.Head, error) { return s.Head(ctx) }

func (s *stormSource) Load(_ context.Context, h release.Head) (*configuration.Snapshot, error) {
	return s.snapshot(h.Version().Number()), nil
}

// TestVersionsInQuickSuccession guards against a node that spends its processor time on each of many versions that replace
// one another within a second, and against one that takes none of them.
func TestVersionsInQuickSuccession(t *testing.T) {
	board := blackboard.NewBoard()
	source := &stormSource{}
	c := &configurationController{
		board: board, source: source, now: time.Now, logger: log.New(io.Discard), labels: configuration.NewLabels(nil),
		members: newMembers(board, membership.NewTable(membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))),
	}
	c.joined = make(chan struct{})
	close(c.joined)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		c.watch(ctx, source)
	}()
	for deadline := start.Add(30 * time.Second); board.Version().Number() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no second version comes into force")
		}
	}
	cancel()
	<-done
	if looks, most := source.number.Load(), uint64(time.Since(start)/changePause)+2; looks > most {
		t.Errorf("%d versions were taken in %s, want at most %d", looks, time.Since(start), most)
	}
}

// TestStartingNodeDoesNotFollowAlone guards against a fleet that starts together and of which each node follows the head,
// because it knows only itself yet. A node that finds no member follows it after a while.
func TestStartingNodeDoesNotFollowAlone(t *testing.T) {
	board := blackboard.NewBoard()
	source := &stormSource{}
	c := &configurationController{
		board: board, source: source, now: time.Now, logger: log.New(io.Discard), labels: configuration.NewLabels(nil),
		members: newMembers(board, membership.NewTable(membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))),
		joined:  make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		c.watch(ctx, source)
	}()
	for deadline := start.Add(30 * time.Second); source.number.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the head is not followed by a node that stays alone")
		}
	}
	if waited := time.Since(start); waited < aloneTime {
		t.Errorf("the head is followed after %s, want %s", waited, aloneTime)
	}
	cancel()
	<-done
}
