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

// TestCrossingUpdates guards against a version that goes back and a route without its service, while operators add
// and remove both, accept in quick succession through several nodes, updates overtake each other on slow links, and
// one node is paused until the others take it for dead.
func TestCrossingUpdates(t *testing.T) {
	v := startVersions(t)
	ctx := timeout(t)
	for _, n := range v.Nodes() {
		n.PeerProxy().Delay(10*time.Millisecond, 60*time.Millisecond)
	}
	paused := v.Nodes()[12]
	paused.NodeProcess().Pause()
	number := v.addAndRemove(ctx, 4, 6)
	v.converge(ctx, "crossing updates", number, v.except(paused)...)
	v.members(ctx, len(v.Nodes())-1, v.except(paused)...)
	paused.NodeProcess().Resume()
	v.converge(ctx, "resumed node", number)
	v.members(ctx, len(v.Nodes()))
	if err := paused.NodeProcess().Restart(); err != nil {
		t.Fatal(err)
	}
	v.converge(ctx, "restarted node", number)
	_, number = v.accept(ctx)
	v.converge(ctx, "after the race", number)
	v.keepsRoutes(ctx)
}

// addAndRemove lets operators, each through a node of its own, add a route to a service that another operator
// removes, and returns the highest version.
func (v *versions) addAndRemove(ctx context.Context, operators, rounds int) uint64 {
	v.t.Helper()
	var mu sync.Mutex
	var highest uint64
	var accepted, rejected int
	var wg sync.WaitGroup
	for o := range operators {
		c := v.changer(v.Nodes()[3*o])
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
					v.t.Error(err)
					return
				}
				version, err := c.Accept(ctx)
				mu.Lock()
				switch {
				case err == nil:
					accepted++
					highest = max(highest, version.Number)
				case baobaboperator.ErrorKindOf(err) == baobaboperator.ErrorRejected:
					rejected++ // The route of one operator refers to the service that another has removed.
				default:
					v.t.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	v.t.Logf("%d versions accepted, %d candidates rejected", accepted, rejected)
	return highest
}

// TestMassRestart guards against nodes that do not find each other, do not agree on the version, or overload the
// platform, when all nodes of a failure domain, or of the mesh, are killed and started in the same second.
func TestMassRestart(t *testing.T) {
	v := startVersions(t)
	ctx := timeout(t)
	_, number := v.accept(ctx)
	v.converge(ctx, "before", number)
	for _, tt := range []struct {
		name  string
		nodes []*baobabemulator.MeshNode
	}{{"failure domain", v.NodesInDomain(1)}, {"mesh", v.Nodes()}} {
		before, err := v.PlatformCounters(ctx)
		if err != nil {
			t.Fatal(err)
		}
		kill(tt.nodes...)
		v.start(tt.nodes...)
		v.converge(ctx, tt.name+" restarted", number)
		v.members(ctx, len(v.Nodes()))
		after, err := v.PlatformCounters(ctx)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s restarted: %d reads, %d writes, peak per second since the start of the mesh %d reads, %d writes", tt.name,
			after.Reads-before.Reads, after.Writes-before.Writes, after.PeakReadsPerSecond, after.PeakWritesPerSecond)
	}
	_, number = v.accept(ctx)
	v.converge(ctx, "accepted after the restarts", number)
	v.keepsRoutes(ctx)
}

// TestFailureDomainAlone guards against a failure domain that stops serving while it is cut off from the others and
// from the platform, or that does not return; and against a node that cannot start in it.
func TestFailureDomainAlone(t *testing.T) {
	v := startVersions(t, baobabemulator.WithMeshStaticSeeds(13))
	ctx := timeout(t)
	_, old := v.accept(ctx)
	v.converge(ctx, "before", old)
	paths := []string{"/availability", "/deposits", "/reservations", "/session-records"}
	serve := func() {
		for _, path := range paths {
			v.serves(ctx, path, v.NodesInDomain(3)...)
		}
	}
	for _, path := range paths {
		v.comesToServe(ctx, path, v.NodesInDomain(3), v.NodesInDomain(3))
	}
	v.Partition(3)
	serve()
	rest := append(v.NodesInDomain(1), v.NodesInDomain(2)...)
	_, number := v.accept(ctx, rest...)
	v.converge(ctx, "accepted without the failure domain", number, rest...)
	started := v.NodesInDomain(3)[0]
	if err := started.NodeProcess().Restart(); err != nil {
		t.Fatal(err)
	}
	v.converge(ctx, "started in the failure domain that is cut off", old, started)
	serve()
	v.Heal(3)
	v.converge(ctx, "joined again", number)
	v.members(ctx, len(v.Nodes()))
	serve()
}

// TestStatusOfGoneMembers guards against a status that hides members that died or left, or that waits for them.
func TestStatusOfGoneMembers(t *testing.T) {
	v := startVersions(t)
	ctx := timeout(t)
	dead, left := v.Nodes()[0], v.Nodes()[1]
	kill(dead)
	if err := left.NodeProcess().Terminate(ctx); err != nil {
		t.Fatal(err)
	}
	client, err := v.Operator(v.Nodes()[2])
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
		t.Errorf("Status() = %+v, want version 1 in force at all that are alive", status)
	}
}

// injection is a failure that is put in and taken out again.
type injection struct {
	name    string
	in, out func()
}

// TestTwoFailuresAtOnce guards against faults of two failures that no single one shows: two are drawn in each round,
// a version is accepted meanwhile, and it is in force everywhere after both have ended.
func TestTwoFailuresAtOnce(t *testing.T) {
	const rounds = 6
	v := startVersions(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	seed := newSeed(t)
	random := rand.New(rand.NewPCG(seed, seed))
	stop := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() { v.callUntil(ctx, stop) })
	for range rounds {
		list := v.injections(ctx, random)
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		what := list[0].name + " and " + list[1].name
		list[0].in()
		list[1].in()
		v.routes++
		route := fmt.Sprintf("r%d", v.routes)
		changer := v.changer()
		during, cancel := context.WithTimeout(ctx, time.Second)
		version, err := changer.AcceptRoute(during, route, "deposits")
		cancel()
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) // How long the failures last is drawn too.
		list[1].out()
		list[0].out()
		if err != nil {
			if version, err = changer.AcceptRoute(ctx, route, "deposits"); err != nil {
				t.Fatalf("seed %d: %s: %v", seed, what, err)
			}
		}
		v.converge(ctx, what, version.Number)
	}
	close(stop)
	calls.Wait()
	t.Logf("seed %d, %d calls", seed, len(v.caller.Records()))
	v.keepsRoutes(ctx)
}

// injections returns one failure of each kind with targets drawn at random.
func (v *versions) injections(ctx context.Context, random *rand.Rand) []injection {
	node := func() *baobabemulator.MeshNode { return v.Nodes()[random.IntN(len(v.Nodes()))] }
	killed, paused, deaf, slow, domain := node(), node(), node(), node(), 1+random.IntN(3)
	for paused == killed {
		paused = node()
	}
	faults := func(on, off string) (func(), func()) {
		return func() { v.platformFaults(ctx, on) }, func() { v.platformFaults(ctx, off) }
	}
	down, up := faults(`{"down": true}`, `{"down": false}`)
	stale, fresh := faults(`{"stale_reads": true}`, `{"stale_reads": false}`)
	lose, keep := faults(`{"lose_writes": 2}`, `{"lose_writes": 0}`)
	return []injection{
		{"killed " + killed.ID(), func() { kill(killed) }, func() { v.start(killed) }},
		{"paused " + paused.ID(), paused.NodeProcess().Pause, paused.NodeProcess().Resume},
		{"half-open links to " + deaf.ID(), deaf.PeerProxy().HalfOpen, deaf.PeerProxy().Heal},
		{"slow links to " + slow.ID(), func() { slow.PeerProxy().Delay(100*time.Millisecond, 200*time.Millisecond) },
			func() { slow.PeerProxy().Delay(0, 0) }},
		{fmt.Sprintf("cut off failure domain %d", domain), func() { v.Partition(domain) }, func() { v.Heal(domain) }},
		{"platform down", down, up}, {"stale platform", stale, fresh}, {"lost answers of the platform", lose, keep},
	}
}

// callUntil sends calls through random nodes until stop is closed.
func (v *versions) callUntil(ctx context.Context, stop <-chan struct{}) {
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
		v.caller.Do(ctx, v.Nodes()[i%len(v.Nodes())].EntryURL(), r)
	}
}
