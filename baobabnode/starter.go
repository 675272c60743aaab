package baobabnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	membership "github.com/baobabdale/baobabdale/baobabmembership"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// joinAttempts is how many addresses a starting node tries at the same time. While none answers, it tries twice
	// as many of the others, because after a mass failure most seed rows name nodes that are gone.
	joinAttempts = 3
	// joinTimeout bounds one join.
	joinTimeout = time.Second
	// startPause is the pause after the first round of starting. It doubles up to startPauseMax, so that thousands of
	// nodes that wait for the platform or for a first configuration do not overload the platform. A round follows at
	// once when a version comes into force.
	startPause    = 200 * time.Millisecond
	startPauseMax = 2 * time.Second
	// startJitter spreads nodes that start in the same moment.
	startJitter = 200 * time.Millisecond
	// witnesses is how many members are asked for the highest version besides the ring successors, which have
	// heard the version of this node's last run in its probes.
	witnesses = 3
)

// A starter brings a node into the mesh: it joins, and finds the highest version before the node serves. A node
// keeps nothing over a restart, so this is what keeps it from going back to an older version.
type starter struct {
	members       *members
	membership    *membershipController
	configuration *configurationController
	seeds         *seedBook
	authoritative bool          // The source alone confirms the version.
	patience      time.Duration // How long the platform is waited for before the peers alone are trusted.
	now           func() time.Time
	logger        *log.Logger

	mu     sync.Mutex
	ready  bool   // Guarded by mu; never reset.
	reason string // Guarded by mu; why the node is not ready.
}

func newStarter() *starter { return &starter{reason: "starting"} }

// Ready implements operator.Readiness.
func (s *starter) Ready(time.Time) (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready, s.reason
}

// run joins and waits until the node may serve. A node that serves without having found another one goes on looking.
func (s *starter) run(ctx context.Context) error {
	if !sleep(ctx, rand.N(startJitter)) {
		return nil
	}
	begin := s.now()
	joined, ready := false, false
	found := s.membership.found
	for pause := startPause; ctx.Err() == nil; pause = min(2*pause, startPauseMax) {
		changed := s.configuration.board.InForceChanged()
		if !joined && s.join(ctx) {
			joined = true
			close(s.configuration.joined)
		}
		if !ready {
			reason := s.confirm(ctx, s.now().Sub(begin))
			s.set(reason)
			if ready = reason == ""; ready {
				s.logger.Info("ready", "after", s.now().Sub(begin), "joined", joined)
			}
		}
		if ready && joined {
			return nil
		}
		if ready {
			changed = nil
		}
		wait := pause + rand.N(pause)
		if left := s.patience - s.now().Sub(begin); left > 0 {
			wait = min(wait, left+rand.N(startPause))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-found:
			found = nil // It stays closed.
		case <-time.After(wait):
		}
	}
	return nil
}

// join asks seeds for the members unless some are known. It reports whether one answered.
func (s *starter) join(ctx context.Context) bool {
	if len(s.members.live()) > 1 {
		return true
	}
	addresses := s.seeds.addresses(ctx)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for count := joinAttempts; len(addresses) > 0; count *= 2 {
		count = min(count, len(addresses))
		if s.joinAny(ctx, addresses[:count]) {
			s.membership.announceSelf(func(*membership.Member) {})
			return true
		}
		addresses = addresses[count:]
	}
	return false
}

// joinAny joins through all of the addresses at the same time. It reports whether one answered.
func (s *starter) joinAny(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answered atomic.Bool
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			reply, err := s.membership.join(ctx, address)
			if err != nil {
				s.logger.Debug("join failed", "address", address, "err", err)
				return
			}
			s.configuration.board.RaiseHighest(reply.GetHighestSeen())
			answered.Store(true)
		})
	}
	wg.Wait()
	return answered.Load()
}

// confirm returns why the node may not serve yet, or an empty text. The platform and a peer must have answered; the
// platform is enough where no peer is known, and peers are enough when the platform has been away for a while.
func (s *starter) confirm(ctx context.Context, waited time.Duration) string {
	head, platformErr := s.loadHead(ctx)
	if platformErr == nil && s.authoritative && s.configuration.board.Version().Number() > 0 {
		return ""
	}
	asked, answered := s.askPeers(ctx)
	if platformErr == nil && asked > 0 && answered == 0 && waited < s.patience {
		return "no peer has confirmed the version"
	}
	if platformErr == nil && s.configuration.board.Version().Number() > 0 {
		// The read may have been stale, and the peers may lag behind the version of this node's last run.
		platformErr = s.configuration.confirmHead(ctx, head)
	}
	return confirmation{
		platformErr: platformErr, answered: answered, waited: waited, patience: s.patience, version: s.configuration.board.Version().Number(),
		highest: s.configuration.board.Highest(), rejected: s.configuration.rejectedNumber(),
	}.missing()
}

// loadHead puts the version of the head in force, and confirms it where the source alone does. It waits only as long as
// the platform is waited for.
func (s *starter) loadHead(ctx context.Context) (release.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, s.patience)
	defer cancel()
	head, err := s.configuration.loadHead(ctx, false)
	if err == nil && s.authoritative {
		err = s.configuration.confirmHead(ctx, head)
	}
	return head, err
}

// askPeers asks members for the highest version that they have heard of, and fetches it.
func (s *starter) askPeers(ctx context.Context) (asked, answered int) {
	targets := s.witnesses()
	replies := make([]*wire.ProbeAck, len(targets))
	var wg sync.WaitGroup
	for i, m := range targets {
		wg.Go(func() { replies[i] = s.membership.witness(ctx, m) })
	}
	wg.Wait()
	var best *wire.Version
	address := ""
	for i, r := range replies {
		if r == nil {
			continue
		}
		answered++
		s.configuration.board.RaiseHighest(r.GetHighestSeen())
		if r.GetVersion().GetNumber() > best.GetNumber() {
			best, address = r.GetVersion(), targets[i].PeerAddress()
		}
	}
	if best.GetNumber() > s.configuration.board.Version().Number() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if err := s.configuration.fetchFrom(ctx, address, best.GetNumber()); err != nil {
			s.logger.Debug("version not fetched", "err", err)
		}
	}
	return len(targets), answered
}

// witnesses returns the ring successors and a few random members of the own failure domain, or of another one where
// this is the first.
func (s *starter) witnesses() []membership.Member {
	var targets []membership.Member
	s.members.do(func(t *membership.Table) []membership.Change {
		targets = t.ProbeTargets()
		return nil
	})
	seen := map[string]bool{s.members.self: true}
	for _, m := range targets {
		seen[m.ID()] = true
	}
	own := s.members.selfRecord().FailureDomain()
	var near, far []membership.Member
	for _, m := range s.members.live() {
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
	return append(targets, others[:min(witnesses, len(others))]...)
}

func (s *starter) set(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready, s.reason = reason == "", reason
}

// sleep waits and reports whether ctx is still alive.
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
