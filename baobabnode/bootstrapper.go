package baobabnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// joinBatchSize is how many addresses a starting node contacts concurrently at first. The batch size doubles while
	// none answers, because after a mass failure most seed rows name nodes that no longer exist.
	joinBatchSize = 3
	// defaultJoinTimeout bounds a join request.
	defaultJoinTimeout = time.Second
	// joinStagger is the pause before the next batch while no address has answered. It covers the answer of a node that
	// starts at the same time.
	joinStagger = 300 * time.Millisecond
	// startBackoffMin is the base pause after the first startup attempt. It doubles up to startBackoffMax, so that
	// thousands of nodes that wait for the platform or for a first configuration do not overload the platform. When a
	// version comes into force, the next attempt follows at once.
	startBackoffMin = 200 * time.Millisecond
	startBackoffMax = 2 * time.Second
	// startJitter spreads out nodes that start at the same moment.
	startJitter = 200 * time.Millisecond
	// extraVersionPeers is how many members are asked for the highest version in addition to the ring successors, which
	// received this node's version in the probes of its previous run.
	extraVersionPeers = 3
)

// A bootstrapper joins a starting node to the mesh and finds the highest configuration version before the node serves.
// A node persists nothing, so without this check it could serve an older version after a restart.
type bootstrapper struct {
	members       *memberTable
	membership    *membershipController
	configuration *configurationController
	seeds         *seedRegistry
	authoritative bool          // The source alone can confirm the version.
	platformWait  time.Duration // How long to wait for the platform before the answers of peers suffice.
	joinTimeout   time.Duration // Of one join request.
	sendJoin      func(ctx context.Context, address string) (*wire.JoinReply, error)
	joins         sync.WaitGroup // Join requests in progress.
	now           func() time.Time
	logger        *log.Logger

	mu     sync.Mutex
	ready  bool   // Guarded by mu; never set back to false.
	reason string // Guarded by mu; why the node is not ready, or empty.
}

func newBootstrapper() *bootstrapper {
	return &bootstrapper{reason: "starting", joinTimeout: defaultJoinTimeout}
}

// Ready implements operator.Readiness.
func (b *bootstrapper) Ready(time.Time) (bool, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready, b.reason
}

// run joins the mesh and waits until the node may serve. A node that is ready but has not joined keeps trying.
func (b *bootstrapper) run(ctx context.Context) error {
	if !sleep(ctx, rand.N(startJitter)) {
		return nil
	}
	defer b.joins.Wait()
	startedAt := b.now()
	joined, ready := false, false
	found := b.membership.peerFound
	for pause := startBackoffMin; ctx.Err() == nil; pause = min(2*pause, startBackoffMax) {
		changed := b.configuration.board.ActiveConfigurationChanged()
		if !joined && b.join(ctx) {
			joined = true
			close(b.configuration.joined)
		}
		if !ready {
			reason := b.checkReady(ctx, b.now().Sub(startedAt))
			b.setReason(reason)
			if ready = reason == ""; ready {
				b.logger.Info("ready", "after", b.now().Sub(startedAt), "joined", joined)
			}
		}
		if ready && joined {
			return nil
		}
		if ready {
			changed = nil
		}
		wait := pause + rand.N(pause)
		if remaining := b.platformWait - b.now().Sub(startedAt); remaining > 0 {
			wait = min(wait, remaining+rand.N(startBackoffMin))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-found:
			found = nil // The channel stays closed, so it must not be selected again.
		case <-time.After(wait):
		}
	}
	return nil
}

// join asks seeds for the members, unless other members are already known. It reports whether members are known or a
// seed answered.
func (b *bootstrapper) join(ctx context.Context) bool {
	if len(b.members.liveMembers()) > 1 {
		return true
	}
	addresses := b.seeds.addresses(ctx)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if !b.joinAny(ctx, addresses) {
		return false
	}
	b.membership.announceSelf(func(*membership.Member) {})
	return true
}

// joinAny sends join requests to the addresses, in batches of growing size, until one of them answers. The next batch
// follows when all requests have failed, or after joinStagger: a node without power does not refuse connections, so that
// each batch after a mass failure would otherwise take joinTimeout. It reports whether any of them answered.
func (b *bootstrapper) joinAny(ctx context.Context, addresses []string) bool {
	answers := make(chan bool, len(addresses))
	pending := 0
	for size := joinBatchSize; len(addresses) > 0 || pending > 0; size *= 2 {
		size = min(size, len(addresses))
		for _, address := range addresses[:size] {
			b.joins.Go(func() { answers <- b.joinOne(ctx, address) })
		}
		addresses = addresses[size:]
		pending += size
		if b.awaitJoin(answers, &pending, len(addresses) > 0) {
			return true
		}
	}
	return false
}

// awaitJoin waits until a join request is answered, all pending ones have failed or, if more addresses are left,
// joinStagger has passed. It reports whether one was answered.
func (b *bootstrapper) awaitJoin(answers <-chan bool, pending *int, more bool) bool {
	var stagger <-chan time.Time
	if more {
		t := time.NewTimer(joinStagger)
		defer t.Stop()
		stagger = t.C
	}
	for *pending > 0 {
		select {
		case answered := <-answers:
			*pending--
			if answered {
				return true
			}
		case <-stagger:
			return false
		}
	}
	return false
}

// joinOne sends a join request and reports whether it was answered.
func (b *bootstrapper) joinOne(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, b.joinTimeout)
	defer cancel()
	reply, err := b.sendJoin(ctx, address)
	if err != nil {
		b.logger.Debug("join failed", "address", address, "err", err)
		return false
	}
	b.configuration.board.RaiseHighestNumber(reply.GetHighestSeen())
	return true
}

// checkReady returns why the node may not serve yet, or an empty string. The platform and a peer must have answered.
// The platform suffices if no peer is known, or if no peer answers within platformWait; peers suffice if the platform
// has been unavailable for platformWait.
func (b *bootstrapper) checkReady(ctx context.Context, waited time.Duration) string {
	head, platformErr := b.loadHead(ctx)
	if platformErr == nil && b.authoritative && b.configuration.board.ActiveVersion().Number() > 0 {
		return ""
	}
	asked, answered := b.queryPeers(ctx)
	if platformErr == nil && asked > 0 && answered == 0 && waited < b.platformWait {
		return "no peer has confirmed the version"
	}
	if platformErr == nil && b.configuration.board.ActiveVersion().Number() > 0 {
		// The read may have been stale, and the peers may lag behind the version of this node's previous run.
		platformErr = b.configuration.confirmHead(ctx, head)
	}
	return startupCheck{
		platformErr: platformErr, peersAnswered: answered, waited: waited, platformWait: b.platformWait,
		version: b.configuration.board.ActiveVersion().Number(), highest: b.configuration.board.HighestNumber(),
		rejected: b.configuration.rejectedNumber(),
	}.notReadyReason()
}

// loadHead puts the version of the head in force, and confirms it if the source is authoritative. It waits for a response of
// the source until platformWait at the latest.
func (b *bootstrapper) loadHead(ctx context.Context) (release.Head, error) {
	ctx, cancel := sourceContext(ctx, b.platformWait)
	defer cancel()
	head, err := b.configuration.loadHead(ctx, false)
	if err == nil && b.authoritative {
		err = b.configuration.confirmHead(ctx, head)
	}
	return head, err
}

// queryPeers asks members for their version and the highest version they know, and fetches the newest version that a
// member has. It returns the number of members asked and of those that answered.
func (b *bootstrapper) queryPeers(ctx context.Context) (asked, answered int) {
	targets := b.versionPeers()
	replies := make([]*wire.ProbeAck, len(targets))
	var wg sync.WaitGroup
	for i, m := range targets {
		wg.Go(func() { replies[i] = b.membership.queryVersion(ctx, m) })
	}
	wg.Wait()
	var best *wire.Version
	address := ""
	for i, r := range replies {
		if r == nil {
			continue
		}
		answered++
		b.configuration.board.RaiseHighestNumber(r.GetHighestSeen())
		if r.GetVersion().GetNumber() > best.GetNumber() {
			best, address = r.GetVersion(), targets[i].PeerAddress()
		}
	}
	if best.GetNumber() > b.configuration.board.ActiveVersion().Number() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if err := b.configuration.fetchFrom(ctx, address, best.GetNumber()); err != nil {
			b.logger.Debug("failed to fetch version", "err", err)
		}
	}
	return len(targets), answered
}

// versionPeers returns the ring successors and up to extraVersionPeers random other members. Members of this node's
// failure domain come first; other failure domains fill the remaining places.
func (b *bootstrapper) versionPeers() []membership.Member {
	var targets []membership.Member
	b.members.withTable(func(t *membership.Table) []membership.Change {
		targets = t.ProbeTargets()
		return nil
	})
	seen := map[string]bool{b.members.self: true}
	for _, m := range targets {
		seen[m.ID()] = true
	}
	own := b.members.selfRecord().FailureDomain()
	var near, far []membership.Member
	for _, m := range b.members.liveMembers() {
		switch {
		case seen[m.ID()]:
		case m.FailureDomain() == own:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	others := append(near, far...)
	return append(targets, others[:min(extraVersionPeers, len(others))]...)
}

func (b *bootstrapper) setReason(reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready, b.reason = reason == "", reason
}

// sleep waits for d or until ctx is done. It reports whether the full duration has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
