package baobabproof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// Seeds that failed: 2, an announcement read late by a paused node shut its upstream out; 9, an upstream that was started
// again within 2 s of its last start was shut out.

// soakRecovery bounds the time from the end of the last fault until all is as before: the platform's 15 s for a whole mesh.
const soakRecovery = 15 * time.Second

var (
	soakTime  = flag.Duration("soak", 8*time.Second, "how long the faults of a soak come")
	soakCount = flag.Int("soak-seeds", 2, "number of soaks, with seeds that follow each other")
	soakFirst = flag.Uint64("soak-seed", 1, "first seed of the soaks")
)

// TestSoak guards against violations that only series of overlapping faults show: processes of nodes and upstreams are
// killed, paused, stopped and started again, links are cut, delayed, stalled and lose answers, and the platform fails in
// several ways, while operators accept versions and callers send a steady load. The faults follow from the seed.
func TestSoak(t *testing.T) {
	for i := range *soakCount {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, seed).run()
		})
	}
}

// A soak is a mesh under the faults of one seed.
type soak struct {
	t        *testing.T
	m        *baobabemulator.Mesh
	observer *baobabemulator.Observer
	caller   *baobabemulator.Caller
	plan     []soakStep
	accepted atomic.Uint64 // Highest number of a version that an operator was told is accepted.
	failed   atomic.Int64  // Accepts without a success, which faults may cause.
	locks    sync.Map      // *sync.Mutex by resource.
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{t: t, m: startMesh(t, "booking")}
	random := rand.New(rand.NewPCG(seed, seed))
	s.plan = planSoak(random, *soakTime, len(s.m.Nodes()))
	var err error
	if s.observer, err = s.m.Observe(); err != nil {
		t.Fatal(err)
	}
	s.caller = baobabemulator.NewCaller(fmt.Sprint("soak-", seed))
	t.Cleanup(s.observer.Close)
	t.Cleanup(s.caller.Close)
	return s
}

func (s *soak) run() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), *soakTime+3*testTimeout)
	defer cancel()
	load := s.startLoad(ctx)
	defer load.Stop()
	s.t.Cleanup(s.explain)
	begin := time.Now()
	var steps sync.WaitGroup
	for _, v := range s.plan {
		steps.Go(func() {
			time.Sleep(time.Until(begin.Add(v.at)))
			// A planned stop takes a while itself, and the next step at the same process follows it.
			held := s.lock(v.resource())
			defer held.Unlock()
			if err := s.apply(ctx, v); err != nil {
				s.t.Errorf("%s: %v", v, err)
			}
		})
	}
	steps.Wait()
	if s.t.Failed() {
		return
	}
	ended := time.Now()
	within, stop := context.WithDeadline(ctx, ended.Add(soakRecovery))
	defer stop()
	s.recover(within)
	s.t.Logf("recovered %v after the last fault; %d accepts failed", time.Since(ended).Round(time.Millisecond), s.failed.Load())
	load.Stop()
	seen := map[string]int{}
	for _, r := range s.caller.Records() {
		seen[summary(r)]++
	}
	s.t.Logf("%d steps, version %d, calls: %v", len(s.plan), s.accepted.Load(), seen)
	newFaults(s.t, s.m).waitIdle(ctx)
	checkHistories(s.t, s.m, s.caller.Records())
	for _, violation := range s.observer.Violations() {
		s.t.Error(violation)
	}
}

// lock takes a resource for one step.
func (s *soak) lock(resource string) *sync.Mutex {
	v, _ := s.locks.LoadOrStore(resource, new(sync.Mutex))
	m := v.(*sync.Mutex)
	m.Lock()
	return m
}

// explain logs the steps, and what each node believes, when the test has failed.
func (s *soak) explain() {
	if !s.t.Failed() {
		return
	}
	for _, v := range s.plan {
		s.t.Log(v)
	}
	for _, n := range s.m.Nodes() {
		var beliefs []string
		for _, name := range []string{
			"baobab_configuration_number", "baobab_membership_endpoints", `baobab_upstream_state{state="draining"}`,
			`baobab_upstream_state{state="ready"}`, `baobab_upstream_state{state="warming"}`,
		} {
			v, err := n.Metric(context.Background(), name)
			beliefs = append(beliefs, fmt.Sprint(name, "=", v, err))
		}
		s.t.Log(n.ID(), "node runs:", n.NodeProcess().Running(), "upstream runs:", n.UpstreamProcess().Running(), beliefs)
		for _, line := range decisionLines(n.NodeProcess().LogFile()) {
			s.t.Log(n.ID(), line)
		}
	}
}

// decisionLines returns the last lines of a log that are not about a single call.
func decisionLines(file string) []string {
	const most = 30
	data, err := os.ReadFile(file)
	if err != nil {
		return []string{err.Error()}
	}
	lines := slices.DeleteFunc(strings.Split(string(data), "\n"), func(l string) bool { return strings.Contains(l, " call ") })
	return lines[max(0, len(lines)-most):]
}

// startLoad sends a mixed load through all nodes. Requests with a key are sent again through other nodes.
func (s *soak) startLoad(ctx context.Context) *baobabemulator.LoadGenerator {
	nodes := s.m.Nodes()
	return baobabemulator.StartLoad(ctx, 8, 10*time.Millisecond, func(ctx context.Context, serial int64) {
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		first := int(serial) % len(nodes)
		if serial%3 == 0 {
			r := steadyRequest("deposits", 2)
			r.Key, r.Timeout = fmt.Sprint("soak-", serial), 500*time.Millisecond
			entries := baobabemulator.EntryURLs(nodes...)
			s.caller.DoUntilAnswered(short, append(entries[first:], entries[:first]...), r, 50*time.Millisecond)
			return
		}
		r := steadyRequest([]string{"availability", "deposits", "session-records"}[serial%7%3], serial%2)
		r.Timeout = time.Second
		s.caller.Do(short, nodes[first].EntryURL(), r)
	})
}

// recover waits until all nodes are ready with the highest accepted version, know each other and all upstreams, and each
// of them serves each service.
func (s *soak) recover(ctx context.Context) {
	s.t.Helper()
	check := func(err error) {
		s.t.Helper()
		if err != nil {
			s.t.Fatal(err)
		}
	}
	check(s.m.WaitReady(ctx))
	_, err := s.observer.WaitVersion(ctx, s.accepted.Load())
	check(err)
	for _, n := range s.m.Nodes() {
		check(s.m.WaitMembers(ctx, n, len(s.m.Nodes())))
	}
	check(s.m.WaitUpstreams(ctx))
	f := newFaults(s.t, s.m)
	for _, n := range s.m.Nodes() {
		for _, service := range []string{"availability", "deposits", "session-records"} {
			f.wait(ctx, service+" through "+n.ID(), func() bool {
				return s.caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/" + service}).Answered()
			})
		}
	}
}
