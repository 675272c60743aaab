package baobabproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
)

// TestCrossingUpdates guards against a version that goes backwards and against a route without its service. Operators
// add and remove both and accept in quick succession through several nodes, updates overtake each other on slow links,
// and one node is paused until the others consider it dead.
func TestCrossingUpdates(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	for _, n := range m.Nodes() {
		n.PeerProxy().Delay(10*time.Millisecond, 60*time.Millisecond)
	}
	paused := m.Nodes()[12]
	paused.NodeProcess().Pause()
	number := m.churnResources(ctx, 4, 6)
	m.waitVersion(ctx, "crossing updates", number, m.nodesExcept(paused)...)
	m.waitMemberCount(ctx, len(m.Nodes())-1, m.nodesExcept(paused)...)
	paused.NodeProcess().Resume()
	m.waitVersion(ctx, "resumed node", number)
	m.waitMemberCount(ctx, len(m.Nodes()))
	if err := paused.NodeProcess().Restart(); err != nil {
		t.Fatal(err)
	}
	m.waitVersion(ctx, "restarted node", number)
	_, number = m.acceptRoute(ctx)
	m.waitVersion(ctx, "after the race", number)
	m.checkAcceptedRoutes(ctx)
}

// churnResources has several operators, each through its own node, add routes to a service that another operator
// removes, and returns the highest accepted version number.
func (m *observedMesh) churnResources(ctx context.Context, operators, rounds int) uint64 {
	m.t.Helper()
	var mu sync.Mutex
	var highest uint64
	var accepted, rejected int
	var wg sync.WaitGroup
	for o := range operators {
		c := m.newChanger(m.Nodes()[3*o])
		own, other := fmt.Sprintf("s%d", o), fmt.Sprintf("s%d", (o+1)%operators)
		steps := []func() error{
			func() error { return c.SetService(ctx, own) },
			func() error { return c.SetRoute(ctx, "own-"+own, own) },
			func() error { return c.SetRoute(ctx, "other-"+own, other) },
			func() error { return c.Delete(ctx, baobaboperator.KindRoute, "other-"+own) },
			func() error { return c.Delete(ctx, baobaboperator.KindRoute, "own-"+own) },
			func() error { return c.Delete(ctx, baobaboperator.KindService, own) },
		}
		wg.Go(func() {
			for i := range rounds * len(steps) {
				if err := steps[i%len(steps)](); err != nil {
					m.t.Error(err)
					return
				}
				version, err := c.Accept(ctx)
				mu.Lock()
				switch {
				case err == nil:
					accepted++
					highest = max(highest, version.Number)
				case baobaboperator.ErrorKindOf(err) == baobaboperator.ErrorRejected:
					rejected++ // A route of one operator refers to a service that another removed.
				default:
					m.t.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	m.t.Logf("%d versions accepted, %d candidates rejected", accepted, rejected)
	return highest
}

// TestMassRestart guards against nodes that do not find each other or do not agree on the version when all nodes of a
// failure domain, or of the mesh, are killed and started in the same second. It logs the load that
// this puts on the platform.
func TestMassRestart(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	_, number := m.acceptRoute(ctx)
	m.waitVersion(ctx, "before", number)
	for _, tt := range []struct {
		name  string
		nodes []*baobabemulator.MeshNode
	}{{"failure domain", m.NodesInDomain(1)}, {"mesh", m.Nodes()}} {
		before, err := m.PlatformCounters(ctx)
		if err != nil {
			t.Fatal(err)
		}
		killNodes(tt.nodes...)
		m.startNodes(tt.nodes...)
		m.waitVersion(ctx, tt.name+" restarted", number)
		m.waitMemberCount(ctx, len(m.Nodes()))
		after, err := m.PlatformCounters(ctx)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s restarted: %d reads, %d writes, peak per second since the start of the mesh %d reads, %d writes", tt.name,
			after.Reads-before.Reads, after.Writes-before.Writes, after.PeakReadsPerSecond, after.PeakWritesPerSecond)
	}
	_, number = m.acceptRoute(ctx)
	m.waitVersion(ctx, "accepted after the restarts", number)
	m.checkAcceptedRoutes(ctx)
}

// TestFailureDomainAlone guards against a failure domain that stops serving while it is cut off from the others and
// from the platform, or that does not rejoin afterwards, and against a node that cannot start in such a domain.
func TestFailureDomainAlone(t *testing.T) {
	m := startObservedMesh(t, baobabemulator.WithMeshStaticSeeds(13))
	ctx := testContext(t)
	_, old := m.acceptRoute(ctx)
	m.waitVersion(ctx, "before", old)
	paths := []string{"/availability", "/deposits", "/reservations", "/session-records"}
	serve := func() {
		for _, path := range paths {
			m.checkAnswered(ctx, path, m.NodesInDomain(3)...)
		}
	}
	for _, path := range paths {
		m.waitServed(ctx, path, m.NodesInDomain(3), m.NodesInDomain(3))
	}
	m.Partition(3)
	serve()
	rest := append(m.NodesInDomain(1), m.NodesInDomain(2)...)
	_, number := m.acceptRoute(ctx, rest...)
	m.waitVersion(ctx, "accepted without the failure domain", number, rest...)
	started := m.NodesInDomain(3)[0]
	if err := started.NodeProcess().Restart(); err != nil {
		t.Fatal(err)
	}
	m.waitVersion(ctx, "started in the failure domain that is cut off", old, started)
	serve()
	m.Heal(3)
	m.waitVersion(ctx, "joined again", number)
	m.waitMemberCount(ctx, len(m.Nodes()))
	serve()
}

// TestStatusOfGoneMembers guards against a status that omits dead or departed members, or that waits for them.
func TestStatusOfGoneMembers(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	dead, left := m.Nodes()[0], m.Nodes()[1]
	killNodes(dead)
	if err := left.NodeProcess().Terminate(ctx); err != nil {
		t.Fatal(err)
	}
	client, err := m.Operator(m.Nodes()[2])
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	want := []baobaboperator.MemberStateCount{
		{State: "alive", Count: 11}, {State: "dead", Count: 1, Members: []string{dead.ID()}},
		{State: "left", Count: 1, Members: []string{left.ID()}},
	}
	var status baobaboperator.Status
	for !reflect.DeepEqual(status.Members, want) {
		if status, err = client.Status(ctx); ctx.Err() != nil {
			t.Fatalf("Status() = %+v, %v, want members %v", status, err, want)
		}
	}
	if !status.InForceEverywhere(1) {
		t.Errorf("Status() = %+v, want version 1 active on all live nodes", status)
	}
}

// A transientFault is a failure that is injected and later reverted.
type transientFault struct {
	name           string
	inject, revert func()
}

// TestTwoFailuresAtOnce guards against defects that appear only under two failures at once. Each round draws two
// failures and accepts a version during them; the version must be active everywhere after both have ended.
func TestTwoFailuresAtOnce(t *testing.T) {
	const rounds = 6
	m := startObservedMesh(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	seed := newSeed(t)
	random := rand.New(rand.NewPCG(seed, seed))
	stop := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() { m.sendCallsUntil(ctx, stop) })
	for range rounds {
		faults := m.randomFaults(ctx, random)
		random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		what := faults[0].name + " and " + faults[1].name
		faults[0].inject()
		faults[1].inject()
		m.routeCount++
		route := fmt.Sprintf("r%d", m.routeCount)
		changer := m.newChanger()
		acceptCtx, cancel := context.WithTimeout(ctx, time.Second)
		version, err := changer.AcceptRoute(acceptCtx, route, "deposits")
		cancel()
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) // The failures also last for a random time.
		faults[1].revert()
		faults[0].revert()
		if err != nil {
			if version, err = changer.AcceptRoute(ctx, route, "deposits"); err != nil {
				t.Fatalf("seed %d: %s: %v", seed, what, err)
			}
		}
		m.waitVersion(ctx, what, version.Number)
	}
	close(stop)
	calls.Wait()
	t.Logf("seed %d, %d calls", seed, len(m.caller.Records()))
	m.checkAcceptedRoutes(ctx)
}

// randomFaults returns one failure of each kind, with random targets.
func (m *observedMesh) randomFaults(ctx context.Context, random *rand.Rand) []transientFault {
	node := func() *baobabemulator.MeshNode { return m.Nodes()[random.IntN(len(m.Nodes()))] }
	killed, paused, halfOpen, slow, domain := node(), node(), node(), node(), 1+random.IntN(3)
	for paused == killed {
		paused = node()
	}
	platformFault := func(on, off string) (func(), func()) {
		return func() { m.mustSetPlatformFaults(ctx, on) }, func() { m.mustSetPlatformFaults(ctx, off) }
	}
	down, up := platformFault(`{"down": true}`, `{"down": false}`)
	stale, fresh := platformFault(`{"stale_reads": true}`, `{"stale_reads": false}`)
	lose, keep := platformFault(`{"lose_writes": 2}`, `{"lose_writes": 0}`)
	return []transientFault{
		{"killed " + killed.ID(), func() { killNodes(killed) }, func() { m.startNodes(killed) }},
		{"paused " + paused.ID(), paused.NodeProcess().Pause, paused.NodeProcess().Resume},
		{"half-open links to " + halfOpen.ID(), halfOpen.PeerProxy().HalfOpen, halfOpen.PeerProxy().Heal},
		{"slow links to " + slow.ID(), func() { slow.PeerProxy().Delay(100*time.Millisecond, 200*time.Millisecond) },
			func() { slow.PeerProxy().Delay(0, 0) }},
		{fmt.Sprintf("cut off failure domain %d", domain), func() { m.Partition(domain) }, func() { m.Heal(domain) }},
		{"platform down", down, up}, {"stale platform", stale, fresh}, {"lost answers of the platform", lose, keep},
	}
}

// sendCallsUntil sends calls through all nodes in turn until stop is closed.
func (m *observedMesh) sendCallsUntil(ctx context.Context, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/availability", Timeout: time.Second}
		if i%4 == 0 {
			r = baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: fmt.Sprint("two-", i), Timeout: time.Second}
		}
		m.caller.Do(ctx, m.Nodes()[i%len(m.Nodes())].EntryURL(), r)
	}
}
