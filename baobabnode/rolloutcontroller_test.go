package baobabnode

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// newTestRolloutController returns the controller of a node that knows upstreams of version v1 and younger ones of v2.
func newTestRolloutController(now func() time.Time, old, fresh int) *rolloutController {
	board := blackboard.NewBoard()
	table := membership.NewTable(membership.NewMember("n0", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))
	m := newMemberTable(board, table)
	var list []membership.Member
	for i := range old + fresh {
		version, startedAt := "v1", now().Add(-time.Hour)
		if i >= old {
			version, startedAt = "v2", now()
		}
		v := membership.NewMember(fmt.Sprintf("m%03d", i), fmt.Sprintf("127.0.1.%d:1", i), "127.0.0.1:2", "a", "r", 1)
		v.SetEndpoint(membership.NewEndpoint("s", "u", 6, 6, membership.EndpointReady, startedAt))
		v.SetLabels(map[string]string{versionLabel: version})
		list = append(list, v)
	}
	m.withTable(func(t *membership.Table) []membership.Change { return t.Merge(now(), list) })
	return newRolloutController(true, board, m, now, log.New(io.Discard))
}

// TestRolloutCandidates guards against a share of requests other than that of the stage, and against endpoints of another
// version.
func TestRolloutCandidates(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	c := newTestRolloutController(func() time.Time { return now }, 20, 20)
	random := rand.New(rand.NewPCG(1, 2))
	set := c.board.Endpoints("s")
	for _, step := range []struct {
		sequence uint64
		share    float64
		state    rollout.State
		wait     time.Duration
		from, to float64 // Bounds of the share of requests for v2.
		targets  int     // Endpoints that they use.
	}{
		{1, 0, rollout.StateRunning, 0, 0, 0, 0},
		{2, 0.05, rollout.StateRunning, 0, 0.03, 0.07, 2},
		{3, 0.5, rollout.StateRunning, 0, 0.45, 0.55, 10},
		{3, 0.5, rollout.StateRunning, 5 * time.Second, 0, 0, 0},
		{4, 1, rollout.StateRunning, 0, 1, 1, 20},
		{5, 1, rollout.StateCompleted, time.Minute, 1, 1, 20},
		{6, 0, rollout.StateRolledBack, time.Minute, 0, 0, 0},
	} {
		c.receiveUpdate(now, &wire.RolloutUpdate{Records: []*wire.RolloutRecord{{
			Service: "s", Order: 1, Sequence: step.sequence, Target: "v2", Baseline: "v1", Share: step.share, State: string(step.state),
		}}})
		now = now.Add(step.wait)
		moved := 0
		for range 4000 {
			got, version := c.candidates(now, random, set)
			want := 20
			if version == "v2" {
				moved++
				want = step.targets
				if step.state == rollout.StateCompleted {
					want = 20
				}
			}
			if got.Len() != want {
				t.Fatalf("stage %d: %d endpoints of %s, want %d", step.sequence, got.Len(), version, want)
			}
		}
		if share := float64(moved) / 4000; share < step.from || share > step.to {
			t.Errorf("stage %d after %s: share %.3f, want %g to %g", step.sequence, step.wait, share, step.from, step.to)
		}
	}
}

// TestRolloutCheck guards against an upstream that runs requests for another version, or of nodes that know no versions.
func TestRolloutCheck(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for _, v := range []struct {
		own, wanted string
		share       float64
		allowed     bool
	}{
		{"v1", "v1", 0.05, true}, {"v1", "", 0.05, true}, {"v1", "v2", 0.05, false}, {"v2", "v2", 0.05, true}, {"v2", "", 0.05, false},
		{"v2", "v1", 0.05, false}, {"v2", "v2", 0, false}, {"", "v1", 0.05, false}, {"", "", 0.05, false}, {"v3", "v3", 0.05, false},
	} {
		c := newTestRolloutController(func() time.Time { return now }, 3, 3)
		a, err := upstream.NewAnnouncement("u", "s", "127.0.0.1:9", 6, 8, upstream.WithLabel(versionLabel, v.own))
		if err != nil {
			t.Fatal(err)
		}
		c.board.SetUpstream(blackboard.NewUpstream(a, upstream.StateReady, nil, nil))
		c.receiveUpdate(now, &wire.RolloutUpdate{Records: []*wire.RolloutRecord{{
			Service: "s", Order: 1, Sequence: 1, Target: "v2", Baseline: "v1", Share: v.share, State: string(rollout.StateRunning),
		}}})
		r := &admissionRequest{call: call.NewCall("1", "", "GET", "h", "/"), service: "s", version: v.wanted}
		if refusal := c.check(now, r); (refusal == nil) != v.allowed {
			t.Errorf("upstream %q, call for %q, share %g: %v", v.own, v.wanted, v.share, refusal)
		}
	}
}
