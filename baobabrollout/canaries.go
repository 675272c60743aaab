package baobabrollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minCanaries is the number of upstreams that get the first requests of a version, where it has so many. With one, a fault of
// its VM could not be told from one of the version.
const minCanaries = 2

// A Canary is an upstream of the target that may get requests.
type Canary struct {
	ID            string
	FailureDomain string
}

// Canaries returns the ids of the upstreams that the given share of requests goes to: as large a share of the upstreams, so
// that each of them has the load that it will have in the end and faults under load show early. All nodes choose the same
// ones, spread over the failure domains.
func Canaries(list []Canary, share float64) map[string]bool {
	count := max(int(math.Ceil(share*float64(len(list))-1e-9)), min(minCanaries, len(list)))
	type ranked struct {
		Canary
		hash uint64
		rank int // Within the failure domain.
	}
	all := make([]ranked, len(list))
	for i, c := range list {
		all[i] = ranked{Canary: c, hash: xxhash.Sum64String(c.ID)}
	}
	byHash := func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(all, byHash)
	ranks := map[string]int{}
	for i := range all {
		all[i].rank = ranks[all[i].FailureDomain]
		ranks[all[i].FailureDomain]++
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), byHash(a, b)) })
	chosen := make(map[string]bool, count)
	for _, c := range all[:count] {
		chosen[c.ID] = true
	}
	return chosen
}
