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
	// seedPurpose ranks the members that write the seed rows.
	seedPurpose = "seed"
	// seedIntervalMin and seedIntervalMax bound the time between two looks at the seed rows. It starts short,
	// because nodes that start at once find each other through the rows, and doubles while nothing changes.
	seedIntervalMin = time.Second
	seedIntervalMax = 30 * time.Second
	// seedFirst is within which time after the starter's first look an absent row is written. The nodes of a new mesh find
	// each other by it at their second look.
	seedFirst   = 100 * time.Millisecond
	seedTimeout = 2 * time.Second
)

// A seedBook keeps a few addresses per failure domain in the platform, through which starting nodes and parts that
// lost each other find members.
type seedBook struct {
	store   platform.Store
	members *members
	static  []string // From the settings.
	logger  *log.Logger

	mu     sync.Mutex
	known  []string // Guarded by mu; addresses from the rows as last read.
	absent bool     // Guarded by mu; the last read found no first row of this failure domain.
}

// run keeps the rows of this failure domain up to date until ctx ends.
func (b *seedBook) run(ctx context.Context) error {
	if !sleep(ctx, startJitter+rand.N(seedFirst)) {
		return nil
	}
	b.introduce(ctx)
	interval := seedIntervalMin
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval + rand.N(interval/2)):
		}
		if b.refresh(ctx) {
			interval = seedIntervalMin
			continue
		}
		interval = min(2*interval, seedIntervalMax)
	}
}

// addresses returns the addresses from the settings and from the platform. An error of the platform leaves those
// from the settings.
func (b *seedBook) addresses(ctx context.Context) []string {
	if _, err := b.read(ctx); err != nil {
		b.logger.Warn("seeds not read from the platform", "err", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return append(append([]string(nil), b.static...), b.known...)
}

// stranger returns the address of a random seed that is not a live member.
func (b *seedBook) stranger(random *rand.Rand) (string, bool) {
	live := map[string]bool{}
	for _, m := range b.members.live() {
		live[m.PeerAddress()] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for _, a := range append(append([]string(nil), b.static...), b.known...) {
		if !live[a] {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[random.IntN(len(list))], true
}

// introduce writes the first row of the failure domain when the starter has read that there is none. A starting node, which
// does not know who else lives, replaces no row.
func (b *seedBook) introduce(ctx context.Context) {
	b.mu.Lock()
	absent := b.absent
	b.mu.Unlock()
	if !absent || len(b.members.live()) > 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	key := b.key(0)
	tx := platform.NewTransaction().IfAbsent(key).Put(key, []byte(b.members.selfRecord().PeerAddress()))
	if _, err := b.store.Commit(ctx, tx.Build()); err != nil {
		b.logger.Debug("first seed not written", "err", err)
	}
}

// key returns the key of a row of this failure domain.
func (b *seedBook) key(slot int) string {
	return fmt.Sprintf("%s%s/%d", seedPrefix, b.members.selfRecord().FailureDomain(), slot)
}

// refresh writes the row of this node if it ranks among the seeds of its failure domain, and reports whether rows
// have changed.
func (b *seedBook) refresh(ctx context.Context) bool {
	slot := b.slot()
	if slot < 0 && !b.members.leads(bridgePurpose, bridges) {
		return false
	}
	rows, err := b.read(ctx)
	if err != nil {
		b.logger.Debug("seeds not read from the platform", "err", err)
		return false
	}
	if slot < 0 {
		return false
	}
	self := b.members.selfRecord()
	key := b.key(slot)
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
	if _, err := b.store.Commit(ctx, tx.Put(key, []byte(self.PeerAddress())).Build()); err != nil {
		b.logger.Debug("seed not written", "err", err)
	}
	return true
}

// slot returns the number of the row that this node writes, or -1.
func (b *seedBook) slot() int {
	for i, m := range b.members.ranked(seedPurpose, b.members.selfRecord().FailureDomain()) {
		if i == seedSlots {
			return -1
		}
		if m.ID() == b.members.self {
			return i
		}
	}
	return -1
}

func (b *seedBook) read(ctx context.Context) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	rows, err := b.store.Scan(ctx, seedPrefix)
	if err != nil {
		return nil, err
	}
	self := b.members.selfRecord().PeerAddress()
	first := b.key(0)
	absent := !slices.ContainsFunc(rows, func(r platform.Row) bool { return r.Key() == first })
	var known []string
	for _, r := range rows {
		if string(r.Value()) != self {
			known = append(known, string(r.Value()))
		}
	}
	b.mu.Lock()
	b.known, b.absent = known, absent
	b.mu.Unlock()
	return rows, nil
}
