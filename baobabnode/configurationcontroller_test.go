package baobabnode

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// advancingSource returns a newer version each time the head is read.
type advancingSource struct {
	number atomic.Uint64
	clock  release.SourceClock
}

func (s *advancingSource) snapshot(number uint64) *configuration.Snapshot {
	return configuration.NewSnapshot(number, configuration.EmptyDocument())
}

func (s *advancingSource) Head(context.Context) (release.Head, error) {
	n := s.number.Add(1)
	return release.NewHead(s.snapshot(n).Version(), n), nil
}

func (s *advancingSource) Confirm(context.Context, release.Head) (release.Head, error) {
	n := s.number.Load()
	return release.NewHead(s.snapshot(n).Version(), n), nil
}

func (s *advancingSource) Proof() (account.Proof, bool) { return account.Proof{}, false }

func (s *advancingSource) Clock() *release.SourceClock { return &s.clock }

func (s *advancingSource) Watch(ctx context.Context, _ time.Duration) (release.Head, error) {
	return s.Head(ctx)
}

func (s *advancingSource) Load(_ context.Context, h release.Head) (*configuration.Snapshot, error) {
	return s.snapshot(h.Version().Number()), nil
}

// newTestConfigurationController returns the controller of a node that knows the given members of its failure domain.
func newTestConfigurationController(board *blackboard.Board, source Source, others ...string) *configurationController {
	table := membership.NewTable(membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))
	for _, id := range others {
		table.Merge(time.Now(), []membership.Member{membership.NewMember(id, "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1)})
	}
	members := newMemberTable(board, table)
	return &configurationController{
		board: board, source: source, now: time.Now, bootTime: account.BootTime, logger: log.New(io.Discard), labels: configuration.NewLabels(nil),
		members: members, joined: make(chan struct{}), fetchRequests: make(chan fetchRequest, fetchQueueSize),
		broadcaster:  &broadcaster{members: members, tomb: stoppedTomb(), now: time.Now, logger: log.New(io.Discard)},
		verification: release.NewVerification(account.BootTime(), true), headChecks: newHeadCheckCounters(metrics.NewSet()),
		sightings: newVersionSightings(metrics.NewSet()), updates: make(chan receivedUpdate, updateQueueSize),
		contents: newContentCounters(metrics.NewSet()),
	}
}

// stoppedTomb returns a tomb with which a broadcaster sends nothing.
func stoppedTomb() *tomb.Tomb {
	t := new(tomb.Tomb)
	t.Kill(nil)
	return t
}

// TestRapidVersionsAreDebounced guards against a node that spends its CPU time on each of many versions that replace
// one another within a second, and against a node that applies none of them.
func TestRapidVersionsAreDebounced(t *testing.T) {
	board := blackboard.NewBoard()
	source := &advancingSource{}
	c := newTestConfigurationController(board, source)
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

// TestHeadIsVerifiedWhenOthersAreSilent guards against a node that keeps an old version for as long as the members that
// watch the head are silent but not yet declared dead.
func TestHeadIsVerifiedWhenOthersAreSilent(t *testing.T) {
	board := blackboard.NewBoard()
	source := &advancingSource{}
	source.number.Store(6)
	c := newTestConfigurationController(board, source, "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9")
	if c.members.headPosition() < headWatchers {
		t.Fatal("the node watches the head itself")
	}
	close(c.joined)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	done := make(chan error, 1)
	go func() { done <- c.run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	for board.ActiveVersion().Number() < 6 {
		if ctx.Err() != nil {
			t.Fatal("the version in the source does not come into force")
		}
		time.Sleep(time.Millisecond)
	}
	if age := c.verification.Age(c.bootTime()); age > 10*time.Second {
		t.Errorf("verified %s ago after the source was asked", age)
	}
}

// TestHeadUpdateVerifiesOnlyVersionInForce guards against a node that counts as up to date because a member has told it of
// a version that it does not have.
func TestHeadUpdateVerifiesOnlyVersionInForce(t *testing.T) {
	for _, c := range []struct {
		name     string
		told     uint64
		age      time.Duration
		wantAge  time.Duration
		wantKept bool // The verification stays as it was.
	}{
		{"version in force", 4, 300 * time.Millisecond, 300 * time.Millisecond, false},
		{"older version", 3, 0, 0, false},
		{"newer version", 5, 0, 0, true},
		{"older verification", 4, time.Minute, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			board := blackboard.NewBoard()
			source := &advancingSource{}
			controller := newTestConfigurationController(board, source)
			if err := controller.install(source.snapshot(4), viaSource); err != nil {
				t.Fatal(err)
			}
			start := account.BootTime()
			controller.verification.Verify(start)
			now := start + time.Second
			controller.receiveHead(now, &wire.HeadUpdate{Version: &wire.Version{Number: c.told}, AgeMs: c.age.Milliseconds()}, "")
			want := c.wantAge
			if c.wantKept {
				want = time.Second
			}
			if age := controller.verification.Age(now); age != want {
				t.Errorf("age = %s, want %s", age, want)
			}
			if queued := len(controller.fetchRequests) == 1; queued != (c.told > 4) {
				t.Errorf("fetch queued = %t", queued)
			}
		})
	}
}

// TestDelayedNewsOfHead guards against a node that takes news of a member as new because they were long on their way.
func TestDelayedNewsOfHead(t *testing.T) {
	const shown = time.Hour // On the clock of the source when the version was the newest one.
	for _, c := range []struct {
		name      string
		offset    time.Duration // Boot time at which the source's clock was 0; 0: not known.
		late      time.Duration // Time from the proof to the arrival of the news.
		sourceUs  int64
		wantAge   time.Duration
		wantsKept bool
	}{
		{"at once", time.Minute, 0, shown.Microseconds(), 0, false},
		{"late", time.Minute, 3 * time.Second, shown.Microseconds(), 3 * time.Second, false},
		{"clock not known", 0, 0, shown.Microseconds(), 0, true},
		{"source without a clock", time.Minute, 3 * time.Second, 0, 0, false},
	} {
		source := &advancingSource{}
		controller := newTestConfigurationController(blackboard.NewBoard(), source)
		if err := controller.install(source.snapshot(4), viaSource); err != nil {
			t.Fatal(err)
		}
		now := time.Minute + shown + c.late
		controller.verification = release.NewVerification(now-time.Minute, true)
		if c.offset > 0 {
			source.clock.Observe(now-30*time.Second, release.NewSourceTime(0, now-30*time.Second-c.offset))
		}
		controller.receiveHead(now, &wire.HeadUpdate{Version: &wire.Version{Number: 4}, SourceTimeUs: c.sourceUs}, "")
		want := c.wantAge
		if c.wantsKept {
			want = time.Minute
		}
		if age := controller.verification.Age(now); age != want {
			t.Errorf("%s: age %s, want %s", c.name, age, want)
		}
	}
}

// TestFoundVersionReachesOtherDomains guards against a failure domain that gets a version late because its own watchers do
// not reach the source.
func TestFoundVersionReachesOtherDomains(t *testing.T) {
	n1, n2 := newTestMembershipController(t, "n1", 1), newTestMembershipController(t, "n2", 1)
	n1.members.withTable(func(table *membership.Table) []membership.Change {
		address := n2.members.selfRecord().PeerAddress()
		return table.Merge(time.Now(), []membership.Member{membership.NewMember("n2", address, address, "b", "r", 1)})
	})
	source, c := &advancingSource{}, n1.configuration
	c.members, c.broadcaster = n1.members, n1.broadcaster
	for _, v := range []uint64{4, 5} {
		if err := c.install(source.snapshot(v), viaSource); err != nil {
			t.Fatal(err)
		}
	}
	c.publishFound(headReaders - 1)
	for deadline := time.Now().Add(30 * time.Second); !n2.configuration.arrived.cover(5); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the version does not reach the other failure domain")
		}
	}
}

// TestIsolatedNodeDelaysHeadWatch guards against nodes that start together and all watch the head, because each of them
// knows only itself at first. A node that finds no member watches the head after a delay.
func TestIsolatedNodeDelaysHeadWatch(t *testing.T) {
	board := blackboard.NewBoard()
	source := &advancingSource{}
	c := newTestConfigurationController(board, source)
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
