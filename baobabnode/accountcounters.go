package baobabnode

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// maxCountedAccounts limits the accounts with counters of their own; the others are counted together.
	maxCountedAccounts = 100
	// otherAccounts and noAccount stand for the other accounts and for requests without a known key. Neither is a valid
	// name of an account.
	otherAccounts = "(other)"
	noAccount     = "(none)"
)

// An accountResult is what a node decided about a request of an account.
type accountResult int

const (
	accountAdmitted accountResult = iota
	accountOverLimit
	accountProofExpired
	accountUnauthorized
	accountResultCount
)

// String returns the value of the label result.
func (r accountResult) String() string {
	return []string{"admitted", "over_limit", "proof_expired", "unauthorized"}[r]
}

// accountCounters counts requests by account and result. The first maxCountedAccounts accounts have counters of their own.
// It is safe for concurrent use.
type accountCounters struct {
	mu     sync.RWMutex
	counts map[string]*[accountResultCount]atomic.Uint64 // Guarded by mu; by account.
}

func newAccountCounters() *accountCounters {
	return &accountCounters{counts: map[string]*[accountResultCount]atomic.Uint64{}}
}

// count counts a request of an account.
func (c *accountCounters) count(account string, r accountResult) {
	c.mu.RLock()
	counts := c.counts[account]
	c.mu.RUnlock()
	if counts == nil {
		counts = c.add(account)
	}
	counts[r].Add(1)
}

// add returns the counters of an account that had none. Beyond the limit these are the counters of all other accounts;
// requests without an account always have counters of their own.
func (c *accountCounters) add(account string) *[accountResultCount]atomic.Uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := len(c.counts)
	for _, special := range []string{otherAccounts, noAccount} {
		if c.counts[special] != nil {
			named--
		}
	}
	if named >= maxCountedAccounts && account != noAccount {
		account = otherAccounts
	}
	if c.counts[account] == nil {
		c.counts[account] = new([accountResultCount]atomic.Uint64)
	}
	return c.counts[account]
}

// write writes the counters that are not 0 in the format of Prometheus, sorted by account.
func (c *accountCounters) write(w io.Writer) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, account := range slices.Sorted(maps.Keys(c.counts)) {
		for r := range accountResultCount {
			if n := c.counts[account][r].Load(); n > 0 {
				_, _ = fmt.Fprintf(w, "baobab_account_requests_total{account=%q,result=%q} %d\n", account, r, n)
			}
		}
	}
}
