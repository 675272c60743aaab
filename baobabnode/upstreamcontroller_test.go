package baobabnode

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

func newTestUpstreamController(t *testing.T, now func() time.Time) *upstreamController {
	t.Helper()
	board := blackboard.NewBoard()
	self := membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1)
	m := newMemberTable(board, membership.NewTable(self))
	b := &broadcaster{members: m, tomb: new(tomb.Tomb), now: time.Now, logger: log.New(io.Discard)}
	return &upstreamController{
		board: board, registry: upstream.NewRegistry(), gate: admission.NewGate(), now: now, logger: log.New(io.Discard),
		membership: &membershipController{board: board, members: m, broadcaster: b, now: now, logger: log.New(io.Discard)},
	}
}

// TestUpstreamLeavesWithoutDraining guards against calls to an upstream that leaves without announcing that it drains.
// This node and the others must stop sending calls to it.
func TestUpstreamLeavesWithoutDraining(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	c := newTestUpstreamController(t, func() time.Time { return now })
	a, err := upstream.NewAnnouncement("u1", "quotes", "127.0.0.1:9", 6, 8, upstream.WithStart(now))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.registry.Announce(now, a); err != nil {
		t.Fatal(err)
	}
	c.syncAnnouncement()
	if u := c.board.Upstream(); u == nil || !u.AcceptsCalls() || c.board.Endpoints("quotes") == nil {
		t.Fatalf("announced upstream %v takes no calls", u)
	}
	c.registry.Leave(now, "u1")
	c.syncAnnouncement()
	if c.board.Upstream().AcceptsCalls() {
		t.Error("the upstream has left and still takes calls")
	}
	if s := c.board.Endpoints("quotes"); s != nil {
		t.Errorf("the service still has %d endpoints", s.Len())
	}
}
