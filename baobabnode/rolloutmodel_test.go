package baobabnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const modelNodes = 8 // The first half beside version v1, the others beside v2.

// A rolloutModel runs the roll-out controllers of some nodes in one goroutine, with a store and a network that fail.
type rolloutModel struct {
	t     *rapid.T
	now   time.Time
	nodes []*rolloutController
	cut   [modelNodes]bool      // From all other nodes.
	since [modelNodes]time.Time // When each node was last out of touch: started or cut off.
	bad   bool                  // The target fails half of its requests.
	order rollout.Order

	refused   [modelNodes]bool // By the store.
	lost      bool             // The answer of the next commit is lost.
	row       []byte
	revision  uint64
	endedAt   time.Time // When the row ended; zero: it has not.
	lastStage rollout.Record
}

// modelStore is the store as one node sees it.
type modelStore struct {
	platform.Store
	model *rolloutModel
	node  int
}

func (s modelStore) Get(context.Context, string) (platform.Row, bool, error) {
	m := s.model
	if m.refused[s.node] {
		return platform.Row{}, false, platform.NewError("get", platform.KindUnavailable, nil)
	}
	return platform.NewRow("rollout/s", m.row, m.revision), m.revision > 0, nil
}

func (s modelStore) Commit(_ context.Context, tx platform.Transaction) (uint64, error) {
	m := s.model
	if m.refused[s.node] {
		return 0, platform.NewError("commit", platform.KindUnavailable, nil)
	}
	if tx.Conditions()[0].Revision() != m.revision {
		return 0, platform.NewConflict("commit", []platform.Row{platform.NewRow("rollout/s", m.row, m.revision)})
	}
	for _, w := range tx.Writes() {
		m.write(s.node, w.Value())
	}
	if m.lost {
		m.lost = false
		return 0, platform.NewError("commit", platform.KindUnknownOutcome, nil)
	}
	return m.revision, nil
}

// write checks and applies a stage.
func (m *rolloutModel) write(node int, value []byte) {
	r, err := rollout.DecodeRecord(value, m.now)
	if err != nil {
		m.t.Fatal(err)
	}
	if m.revision > 0 && !r.NewerThan(m.lastStage) {
		m.t.Fatalf("stage %d of order %d is written after stage %d of order %d", r.Sequence(), r.Order(), m.lastStage.Sequence(), m.lastStage.Order())
	}
	if m.revision > 0 && r.Order() == m.lastStage.Order() && !m.lastStage.Running() {
		m.t.Fatalf("stage %d is written after the end", r.Sequence())
	}
	m.row, m.lastStage, m.endedAt = value, r, time.Time{}
	m.revision++
	if !r.Running() {
		m.endedAt = m.now
	}
	if r.State() == rollout.StateCompleted {
		for i := range m.nodes {
			// A node that has just come back may not know the stage yet.
			if i != node && (m.cut[i] || m.cut[node] || m.now.Sub(m.since[i]) < 2*time.Second) {
				continue
			}
			if _, version := m.choose(i); version != "v2" {
				known := m.nodes[i].splits["s"].Record()
				m.t.Fatalf("stage %d completed by node %d while node %d uses %q: stage %d, share %g, age %s", r.Sequence(), node, i, version,
					known.Sequence(), known.Share(), m.now.Sub(known.Confirmed()))
			}
		}
	}
}

// choose returns the number of endpoints and the version that a request through a node may use.
func (m *rolloutModel) choose(node int) (endpoints int, version string) {
	c := m.nodes[node]
	set, version := c.candidates(m.now, rand.New(rand.NewPCG(1, uint64(m.now.UnixNano()))), c.board.Endpoints("s"))
	return set.Len(), version
}

func (m *rolloutModel) start(i int) {
	board := blackboard.NewBoard()
	id := func(i int) string { return fmt.Sprintf("n%d", i) }
	table := newMemberTable(board, membership.NewTable(membership.NewMember(id(i), "127.0.0.1:1", "127.0.0.1:2", string(rune('a'+i%3)), "r", 1)))
	var list []membership.Member
	for n := range modelNodes {
		version, startedAt := "v1", m.now.Add(-time.Hour)
		if n >= modelNodes/2 {
			version, startedAt = "v2", m.now
		}
		v := membership.NewMember(id(n), fmt.Sprintf("127.0.1.%d:1", n), "127.0.0.1:2", string(rune('a'+n%3)), "r", 2)
		v.SetEndpoint(membership.NewEndpoint("s", "u", 6, 6, membership.EndpointReady, startedAt))
		v.SetLabels(map[string]string{versionLabel: version})
		if n == i {
			a, err := upstream.NewAnnouncement("u", "s", "127.0.0.1:9", 6, 8, upstream.WithLabel(versionLabel, version))
			if err != nil {
				m.t.Fatal(err)
			}
			board.SetUpstream(blackboard.NewUpstream(a, upstream.StateReady, nil, nil))
			table.updateSelf(m.now, func(self *membership.Member) {
				e, _ := v.Endpoint()
				self.SetEndpoint(e)
				self.SetLabels(v.Labels())
			})
			continue
		}
		list = append(list, v)
	}
	table.withTable(func(t *membership.Table) []membership.Change { return t.Merge(m.now, list) })
	c := newRolloutController(true, board, table, func() time.Time { return m.now }, log.New(io.Discard))
	c.store, c.metrics, c.spawn = rolloutStore{store: modelStore{model: m, node: i}, now: c.now}, metrics.NewSet(), func(f func()) { f() }
	c.publish = func(u *wire.RolloutUpdate) {
		for n, other := range m.nodes {
			if n != i && !m.cut[n] && !m.cut[i] {
				other.receiveUpdate(m.now, u)
			}
		}
	}
	c.report = func(decider string, e *wire.RolloutEvidence) (*wire.RolloutEvidenceAck, error) {
		n := int(decider[1] - '0')
		if m.cut[i] || m.cut[n] {
			return nil, errors.New("cut off")
		}
		return m.nodes[n].answerEvidence(m.now, e), nil
	}
	m.nodes[i], m.since[i] = c, m.now
}

// step passes a quarter of a second: upstreams answer, and each node reports and decides.
func (m *rolloutModel) step() {
	m.now = m.now.Add(rolloutInterval)
	for i := range m.nodes {
		if m.cut[i] {
			m.since[i] = m.now
		}
	}
	for i, c := range m.nodes {
		version := "v1"
		if i >= modelNodes/2 {
			version = "v2"
		}
		if _, chosen := m.choose(i); chosen == version || version == "v2" && c.splits["s"].Record().Share() > 0 || version == "v1" {
			for n := range 10 {
				c.evidence.record("s", version, "GET a", !m.bad || version == "v1" || n%2 == 0, 50*time.Millisecond, true)
			}
		}
		if c.splits["s"] == nil || c.splits["s"].Order() != m.order {
			c.observeOrder(m.order)
		}
		c.reportEvidence(m.now)
		c.decideAll(context.Background(), m.now)
	}
	if m.endedAt.IsZero() || m.lastStage.State() != rollout.StateRolledBack || m.now.Sub(m.endedAt) < 5*time.Second {
		return
	}
	for i := range m.nodes {
		if _, version := m.choose(i); version == "v2" {
			m.t.Fatalf("node %d uses the target %s after the rollback", i, m.now.Sub(m.endedAt))
		}
	}
}

// TestRolloutModel guards against writes of two deciders that both take effect, a roll-out that is completed while a node in
// touch uses the old version, and requests for the target 5 s after a rollback, whatever fails in between.
func TestRolloutModel(t *testing.T) {
	var mu sync.Mutex
	ended := map[rollout.State]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &rolloutModel{t: t, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), nodes: make([]*rolloutController, modelNodes)}
		m.order = rollout.NewOrder("s", "v2", 8*time.Second, 1)
		for i := range m.nodes {
			m.start(i)
		}
		m.bad = rapid.Bool().Draw(t, "bad")
		node := rapid.IntRange(0, modelNodes-1)
		calm := rapid.Bool().Draw(t, "calm")
		for range 80 {
			action := 0
			if !calm {
				action = rapid.IntRange(0, 24).Draw(t, "action")
			}
			switch action {
			case 1:
				m.cut[node.Draw(t, "cut")] = true
			case 2:
				m.cut = [modelNodes]bool{}
			case 3:
				m.refused[node.Draw(t, "refused")] = true
			case 4:
				m.refused = [modelNodes]bool{}
			case 5:
				m.lost = true
			case 6:
				m.start(node.Draw(t, "restarted"))
			case 7:
				m.refused = [modelNodes]bool{true, true, true, true, true, true, true, true}
			case 8:
				for i := range m.nodes {
					m.start(i) // All nodes lose power.
				}
			}
			m.step()
		}
		if calm && (m.bad && m.lastStage.State() != rollout.StateRolledBack || !m.bad && m.lastStage.State() != rollout.StateCompleted) {
			t.Fatalf("bad %t: %s at share %g, %s", m.bad, m.lastStage.State(), m.lastStage.Share(), m.lastStage.Reason())
		}
		mu.Lock()
		defer mu.Unlock()
		ended[m.lastStage.State()]++
	})
	t.Logf("states at the end: %v", ended)
}
