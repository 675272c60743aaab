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

// newTestMembershipController returns the controller of a node that listens on its own address.
func newTestMembershipController(t *testing.T, id string, incarnation uint64) *membershipController {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	board, logger, transport := blackboard.NewBoard(), log.New(io.Discard), peer.NewTransport(peer.Unauthenticated{})
	m := newMemberTable(board, membership.NewTable(membership.NewMember(id, l.Addr().String(), "127.0.0.1:1", "a", "r", incarnation)))
	running := new(tomb.Tomb)
	running.Go(func() error {
		<-running.Dying()
		return nil
	})
	c := &membershipController{
		board: board, members: m, transport: transport, now: time.Now, logger: logger, peerFound: make(chan struct{}),
		broadcaster:   &broadcaster{members: m, transport: transport, tomb: running, now: time.Now, logger: logger},
		configuration: newTestConfigurationController(board, &advancingSource{}),
	}
	c.quarantine = newQuarantineController(board, c.broadcaster, time.Now, logger, newDecisionLog(logger, metrics.NewSet()), metrics.NewSet())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(l, &peerHandler{membership: c, configuration: c.configuration, broadcaster: c.broadcaster, logger: logger, now: time.Now})
	}()
	t.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
		_ = transport.Close()
		<-done
	})
	return c
}

// TestRestartedMemberIsContacted guards against a node that is restarted while the platform, which stores the seeds, is
// unavailable and that no member finds, because the others know only that its previous process has left.
func TestRestartedMemberIsContacted(t *testing.T) {
	old := newTestMembershipController(t, "n2", 1)
	other := newTestMembershipController(t, "n1", 1)
	record := old.members.selfRecord()
	record.SetLeft()
	other.members.withTable(func(table *membership.Table) []membership.Change {
		return table.Merge(time.Now(), []membership.Member{old.members.selfRecord(), record})
	})
	restarted := newTestMembershipController(t, "n2", 100)
	// The restarted node listens on another port than its previous process, so the record must have the new address.
	moved := membership.NewMember("n2", restarted.members.selfRecord().PeerAddress(), "127.0.0.1:1", "a", "r", 50)
	moved.SetLeft()
	other.members.withTable(func(table *membership.Table) []membership.Change {
		return table.Merge(time.Now(), []membership.Member{moved})
	})
	if n := len(other.members.liveMembers()); n != 1 {
		t.Fatalf("%d live members before the contact, want only n1", n)
	}
	other.contactDeparted(t.Context(), rand.New(rand.NewPCG(1, 1)), "a")
	for name, c := range map[string]*membershipController{"other": other, "restarted": restarted} {
		if n := len(c.members.liveMembers()); n != 2 {
			t.Errorf("%s knows %d live members, want 2", name, n)
		}
	}
	select {
	case <-restarted.peerFound:
	default:
		t.Error("the bootstrapper of the restarted node is not notified")
	}
}

// TestExchangeRepairsCrashReports guards against a request that crashes one more upstream because the node beside it
// was restarted or missed a broadcast. After one exchange that node must refuse the request too.
func TestExchangeRepairsCrashReports(t *testing.T) {
	informed, restarted := newTestMembershipController(t, "n1", 1), newTestMembershipController(t, "n2", 1)
	f := quarantine.NewFingerprint("stock", "GET", "/levels", nil)
	for _, u := range []string{"u1", "u2"} {
		informed.quarantine.list.Report(time.Now(), quarantine.Request(0), f, u, "call-"+u)
	}
	address := informed.members.selfRecord().PeerAddress()
	if err := restarted.exchange(t.Context(), address, false); err != nil {
		t.Fatal(err)
	}
	if _, refused := restarted.quarantine.list.Refused(time.Now(), f); !refused {
		t.Error("the request is not refused after an exchange with a node that refuses it")
	}
	if update := informed.quarantine.updateFor(restarted.quarantine.digest()); update != nil {
		t.Errorf("nodes that know the same crashes still send %d reports", len(update.GetReports()))
	}
}
