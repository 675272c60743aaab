package baobabnode

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	quota "github.com/baobabdale/baobabdale/baobabquota"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// TestCutOffCoordinatorGrantsLittle guards against two coordinators that both grant the whole rate of an account: a node that
// is cut off goes on as the coordinator, because it does not learn that members of other failure domains are out of reach,
// and the others choose another one.
func TestCutOffCoordinatorGrantsLittle(t *testing.T) {
	const (
		rate, burst = 100.0, 50.0
		reportTime  = 400 * time.Millisecond
		reports     = 50
	)
	for _, c := range []struct {
		name     string
		cutOff   bool
		min, max float64 // Requests that the node may admit, as a part of its limit.
	}{
		{"reachable", false, 0.7, 1.3},
		{"cut off", true, 0, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := membership.NewTable(membership.NewMember("n1", "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1))
			for i := range 5 {
				id := fmt.Sprintf("m%d", i)
				table.Merge(now, []membership.Member{membership.NewMember(id, "127.0.0.1:1", "127.0.0.1:2", "b", "r", 1)})
			}
			l := newLimitController(newMemberTable(blackboard.NewBoard(), table), nil, nil, func() time.Time { return now },
				log.New(io.Discard), metrics.NewSet())
			l.limitOf = func(string) (float64, float64, bool) { return rate, burst, true }
			l.setTopology(now, c.cutOff)
			asked, admitted, allowed := uint64(0), uint64(0), uint64(0)
			for range reports {
				now = now.Add(reportTime)
				asked += uint64(5 * rate * reportTime.Seconds())
				admitted += min(allowed, uint64(5*rate*reportTime.Seconds()))
				for _, g := range l.record(now, quota.NewReport("n1", 1, []quota.Usage{quota.NewUsage("club", asked, admitted, 0)})) {
					allowed = uint64(g.Requests())
				}
			}
			limit := rate * reportTime.Seconds() * reports
			if part := float64(admitted) / limit; part < c.min || part > c.max {
				t.Errorf("%d requests admitted, %.2f of the limit; want %.2f to %.2f", admitted, part, c.min, c.max)
			}
		})
	}
}

// TestReportInPlaceOfCoordinator guards against two nodes that coordinate the same accounts: one that is asked in place of the
// coordinator takes a report only while it does not reach that.
func TestReportInPlaceOfCoordinator(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(id string) membership.Member {
		return membership.NewMember(id, "127.0.0.1:1", "127.0.0.1:2", "a", "r", 1)
	}
	table := membership.NewTable(member("n0"))
	table.Merge(now, []membership.Member{member("n1"), member("n2")})
	order := table.RendezvousOrder("quota/0", "")
	table = membership.NewTable(member(order[1].ID()))
	table.Merge(now, []membership.Member{order[0], order[2]})
	reached := map[string]bool{order[0].ID(): true, order[2].ID(): true}
	l := newLimitController(newMemberTable(blackboard.NewBoard(), table), nil, nil, func() time.Time { return now },
		log.New(io.Discard), metrics.NewSet())
	l.limitOf = func(string) (float64, float64, bool) { return 10, 10, true }
	l.reach = newReachability(func(_ context.Context, id string) bool { return reached[id] })
	l.setTopology(now, false)
	report := &wire.UsageReport{From: order[2].ID(), Start: 1, Accounts: []*wire.AccountUsage{{Account: "club", Asked: 3, Admitted: 3}}}
	if m := l.answerUsage(now, report); m.GetEarlier() != order[0].ID() || len(m.GetAccounts()) > 0 {
		t.Errorf("reply %v while the coordinator is within reach, want its id %s", m, order[0].ID())
	}
	reached[order[0].ID()] = false
	now = now.Add(2 * reachMemory)
	m := l.answerUsage(now, report)
	if m.GetEarlier() != "" || len(m.GetAccounts()) != 1 || m.GetAccounts()[0].Level == nil {
		t.Errorf("reply %v while the coordinator is out of reach, want a grant with a level", m)
	}
}
