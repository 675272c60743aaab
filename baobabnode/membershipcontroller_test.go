package baobabnode

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	quarantine "github.com/baobabdale/baobabdale/baobabquarantine"
)

// newTestMembership returns the controller of a node that answers at an address of its own.
func newTestMembership(t *testing.T, id string, incarnation uint64) *membershipController {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	board, logger, transport := blackboard.NewBoard(), log.New(io.Discard), peer.NewTransport(peer.Unauthenticated{})
	m := newMembers(board, membership.NewTable(membership.NewMember(id, l.Addr().String(), "127.0.0.1:1", "a", "r", incarnation)))
	running := new(tomb.Tomb)
	running.Go(func() error {
		<-running.Dying()
		return nil
	})
	c := &membershipController{
		board: board, members: m, transport: transport, now: time.Now, logger: logger, found: make(chan struct{}),
		broadcaster:   &broadcaster{members: m, transport: transport, tomb: running, logger: logger},
		configuration: &configurationController{board: board, members: m, logger: logger, wanted: make(chan wanted, wantedQueue)},
	}
	c.quarantine = newQuarantineController(board, c.broadcaster, time.Now, logger, newDecisionLog(logger, metrics.NewSet()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(l, &peerHandler{membership: c, configuration: c.configuration, logger: logger, now: time.Now})
	}()
	t.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
		_ = transport.Close()
		<-done
	})
	return c
}

// TestRestartedMemberIsVisited guards against a node that is started again while the platform, which has the seeds, is
// away, and that nobody finds: the others know only that its former process has left.
func TestRestartedMemberIsVisited(t *testing.T) {
	old := newTestMembership(t, "n2", 1)
	other := newTestMembership(t, "n1", 1)
	record := old.members.selfRecord()
	record.SetLeft()
	other.members.do(func(table *membership.Table) []membership.Change {
		return table.Merge(time.Now(), []membership.Member{old.members.selfRecord(), record})
	})
	restarted := newTestMembership(t, "n2", 100)
	// The stand-in has another port than its former process, which the record must name.
	moved := membership.NewMember("n2", restarted.members.selfRecord().PeerAddress(), "127.0.0.1:1", "a", "r", 50)
	moved.SetLeft()
	other.members.do(func(table *membership.Table) []membership.Change {
		return table.Merge(time.Now(), []membership.Member{moved})
	})
	if n := len(other.members.live()); n != 1 {
		t.Fatalf("%d live members before the visit, want only the visitor", n)
	}
	other.visitDeparted(t.Context(), rand.New(rand.NewPCG(1, 1)), "a")
	for who, c := range map[string]*membershipController{"visitor": other, "restarted": restarted} {
		if n := len(c.members.live()); n != 2 {
			t.Errorf("%s knows %d live members, want 2", who, n)
		}
	}
	select {
	case <-restarted.found:
	default:
		t.Error("the starter of the restarted node is not told")
	}
}

// TestExchangeRepairsCrashReports guards against a request that crashes one more upstream, because the node beside it was
// started again or a broadcast did not reach it: equal requests are refused there as well after one exchange.
func TestExchangeRepairsCrashReports(t *testing.T) {
	informed, restarted := newTestMembership(t, "n1", 1), newTestMembership(t, "n2", 1)
	f := quarantine.NewFingerprint("stock", "GET", "/levels", nil)
	for _, u := range []string{"u1", "u2"} {
		informed.quarantine.list.Report(time.Now(), f, u, "call-"+u)
	}
	address := informed.members.selfRecord().PeerAddress()
	if err := restarted.exchange(t.Context(), address, false); err != nil {
		t.Fatal(err)
	}
	if _, refused := restarted.quarantine.list.Refused(time.Now(), f); !refused {
		t.Error("the request is not refused after an exchange with a node that refuses it")
	}
	if update := informed.quarantine.missing(restarted.quarantine.digest()); update != nil {
		t.Errorf("nodes that know the same crashes still send %d reports", len(update.GetReports()))
	}
}
