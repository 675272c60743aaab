package baobabnode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

const (
	seedPrefix = "seed/"
	// seedSlots is the number of seed rows per failure domain.
	seedSlots = 4
	// seedRole is the rendezvous-hash key that elects the members that write the seed rows.
	seedRole = "seed"
	// seedIntervalMin and seedIntervalMax bound the interval between reads of the seed rows. It starts short, because
	// nodes that start at once find one another through the rows, and grows while nothing changes.
	seedIntervalMin = time.Second
	seedIntervalMax = 30 * time.Second
	// firstSeedWindow is the time after the bootstrapper's first read of the rows within which an absent row is
	// written. The nodes of a new mesh find one another through that row at their second read.
	firstSeedWindow = 100 * time.Millisecond
	seedTimeout     = 2 * time.Second
	// seedIntervalGrowth multiplies the interval after each read that finds nothing to change.
	seedIntervalGrowth = 4
	// restoreCheckInterval is how often a restore of the platform, which may have lost rows, is looked for.
	restoreCheckInterval = time.Second
)

// A seedRegistry stores a few addresses per failure domain in the platform, through which starting nodes and the parts
// of a partitioned mesh find members.
type seedRegistry struct {
	store   platform.Store
	members *memberTable
	static  []string // Addresses from the settings.
	logger  *log.Logger

	mu             sync.Mutex
	stored         []string // Guarded by mu; addresses in the rows at the last read.
	firstRowAbsent bool     // Guarded by mu; whether the last read found no first row of this failure domain.
}

// run keeps the rows of this failure domain up to date until ctx is done.
func (s *seedRegistry) run(ctx context.Context) error {
	if !sleep(ctx, startJitter+rand.N(firstSeedWindow)) {
		return nil
	}
	s.writeFirstRow(ctx)
	interval := seedIntervalMin
	for s.waitForRefresh(ctx, interval+rand.N(interval/2)) {
		if s.refresh(ctx) {
			interval = seedIntervalMin
			continue
		}
		interval = min(seedIntervalGrowth*interval, seedIntervalMax)
	}
	return nil
}

// waitForRefresh waits for d, or until the platform was restored from an older copy. It returns false if ctx ends first.
func (s *seedRegistry) waitForRefresh(ctx context.Context, d time.Duration) bool {
	era := s.storeEra()
	for d > 0 {
		step := min(d, restoreCheckInterval)
		if !sleep(ctx, step) {
			return false
		}
		d -= step
		if s.storeEra() != era && era != 0 {
			return sleep(ctx, rand.N(seedIntervalMin))
		}
	}
	return true
}

// storeEra returns the era of the platform, or 0 if it is unknown.
func (s *seedRegistry) storeEra() uint64 {
	if r, ok := s.store.(platform.Restorable); ok {
		return r.Era()
	}
	return 0
}

// addresses returns the addresses from the settings and from the platform. If the platform cannot be read, it returns
// those from the settings and from the last successful read.
func (s *seedRegistry) addresses(ctx context.Context) []string {
	if _, err := s.readRows(ctx); err != nil {
		s.logger.Warn("failed to read seeds from the platform", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]string(nil), s.static...), s.stored...)
}

// nonMember returns the address of a random seed that is not a live member.
func (s *seedRegistry) nonMember(random *rand.Rand) (string, bool) {
	live := map[string]bool{}
	for _, m := range s.members.liveMembers() {
		live[m.PeerAddress()] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, a := range append(append([]string(nil), s.static...), s.stored...) {
		if !live[a] {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[random.IntN(len(list))], true
}

// writeFirstRow writes the first row of the failure domain if the bootstrapper has read that it is absent. A starting
// node never replaces an existing row, because it does not know which members are live.
func (s *seedRegistry) writeFirstRow(ctx context.Context) {
	s.mu.Lock()
	absent := s.firstRowAbsent
	s.mu.Unlock()
	if !absent || len(s.members.liveMembers()) > 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	key := s.rowKey(0)
	tx := platform.NewTransaction().IfAbsent(key).Put(key, []byte(s.members.selfRecord().PeerAddress()))
	if _, err := s.store.Commit(ctx, tx.Build()); err != nil {
		s.logger.Debug("failed to write first seed row", "err", err)
	}
}

// rowKey returns the key of a row of this failure domain.
func (s *seedRegistry) rowKey(slot int) string {
	return fmt.Sprintf("%s%s/%d", seedPrefix, s.members.selfRecord().FailureDomain(), slot)
}

// refresh writes the row of this node if it is elected to write one, and reports whether the row had to be changed.
// Bridges only read the rows.
func (s *seedRegistry) refresh(ctx context.Context) bool {
	slot := s.ownSlot()
	if slot < 0 && !s.members.hasRole(bridgeRole, bridgesPerDomain) {
		return false
	}
	rows, err := s.readRows(ctx)
	if err != nil {
		s.logger.Debug("failed to read seeds from the platform", "err", err)
		return false
	}
	if slot < 0 {
		return false
	}
	self := s.members.selfRecord()
	key := s.rowKey(slot)
	tx := platform.NewTransaction().IfAbsent(key)
	for _, r := range rows {
		if r.Key() != key {
			continue
		}
		if string(r.Value()) == self.PeerAddress() {
			return false
		}
		tx = platform.NewTransaction().IfRevision(key, r.Revision())
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	if _, err := s.store.Commit(ctx, tx.Put(key, []byte(self.PeerAddress())).Build()); err != nil {
		s.logger.Debug("failed to write seed row", "err", err)
	}
	return true
}

// ownSlot returns the number of the row that this node writes, or -1.
func (s *seedRegistry) ownSlot() int {
	for i, m := range s.members.rendezvousOrder(seedRole, s.members.selfRecord().FailureDomain()) {
		if i == seedSlots {
			return -1
		}
		if m.ID() == s.members.self {
			return i
		}
	}
	return -1
}

func (s *seedRegistry) readRows(ctx context.Context) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	rows, err := s.store.Scan(ctx, seedPrefix)
	if err != nil {
		return nil, err
	}
	self := s.members.selfRecord().PeerAddress()
	first := s.rowKey(0)
	absent := !slices.ContainsFunc(rows, func(r platform.Row) bool { return r.Key() == first })
	var known []string
	for _, r := range rows {
		if string(r.Value()) != self {
			known = append(known, string(r.Value()))
		}
	}
	s.mu.Lock()
	s.stored, s.firstRowAbsent = known, absent
	s.mu.Unlock()
	return rows, nil
}
