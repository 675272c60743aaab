package baobabconfiguration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// An Account is a client that authenticates with keys. The configuration holds digests of the keys, never the keys.
type Account struct {
	baseResource
	keyDigests []KeyDigest // Sorted.
	malformed  []string    // Texts of digests that are not 64 hexadecimal digits; Validate rejects them.
	priority   int         // Lower is more urgent.
	rate       float64     // Requests per second; 0 means no limit.
	burst      float64     // Requests beyond the rate; 0 means no limit.
	weight     int
	labels     Labels
}

// A KeyDigest is the SHA-256 hash of a key.
type KeyDigest [sha256.Size]byte

// String returns the hexadecimal form.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

const defaultAccountWeight = 1

type accountJSON struct {
	KeyDigests []string          `json:"key_digests"`
	Priority   int               `json:"priority"`
	Rate       float64           `json:"rate"`
	Burst      float64           `json:"burst"`
	Weight     int               `json:"weight"`
	Labels     map[string]string `json:"labels"`
}

// AccountOption sets an optional property of an account.
type AccountOption func(*accountJSON)

// WithAccountKeys adds keys, of which only the digests are kept.
func WithAccountKeys(keys ...string) AccountOption {
	return func(j *accountJSON) {
		for _, k := range keys {
			j.KeyDigests = append(j.KeyDigests, KeyDigest(sha256.Sum256([]byte(k))).String())
		}
	}
}

// WithAccountLimit limits the requests per second; a burst is the number of requests beyond the rate.
func WithAccountLimit(rate, burst float64) AccountOption {
	return func(j *accountJSON) { j.Rate, j.Burst = rate, burst }
}

// NewAccount returns the account that ParseResource would return for the same fields.
func NewAccount(name string, priority int, options ...AccountOption) (Account, error) {
	if err := checkName(KindAccount, name); err != nil {
		return Account{}, err
	}
	j := accountJSON{Priority: priority, Weight: defaultAccountWeight}
	for _, o := range options {
		o(&j)
	}
	return newAccount(name, j)
}

func parseAccount(name string, text []byte) (Resource, error) {
	j := accountJSON{Weight: defaultAccountWeight}
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	return newAccount(name, j)
}

func newAccount(name string, j accountJSON) (Account, error) {
	a := Account{
		priority: j.Priority, rate: j.Rate, burst: j.Burst, weight: j.Weight, labels: NewLabels(j.Labels),
	}
	if j.KeyDigests == nil {
		j.KeyDigests = []string{}
	}
	for i, text := range j.KeyDigests {
		var d KeyDigest
		b, err := hex.DecodeString(text)
		if err != nil || len(b) != len(d) {
			a.malformed = append(a.malformed, text)
			continue
		}
		copy(d[:], b)
		j.KeyDigests[i] = d.String() // In lower case.
		a.keyDigests = append(a.keyDigests, d)
	}
	slices.Sort(j.KeyDigests)
	slices.SortFunc(a.keyDigests, func(x, y KeyDigest) int { return slices.Compare(x[:], y[:]) })
	j.Labels = a.labels.jsonMap()
	var err error
	a.baseResource, err = newBaseResource(name, j)
	return a, err
}

// Kind implements Resource.
func (a Account) Kind() Kind { return KindAccount }

// KeyDigests returns the digests of the keys, sorted; they must not be modified.
func (a Account) KeyDigests() []KeyDigest { return a.keyDigests }

// Priority returns the priority; lower is more urgent.
func (a Account) Priority() int { return a.priority }

// Rate returns the limit in requests per second, or 0 for none.
func (a Account) Rate() float64 { return a.rate }

// Burst returns the number of requests allowed beyond the rate, or 0.
func (a Account) Burst() float64 { return a.burst }

// Weight returns the weight of the account relative to other accounts.
func (a Account) Weight() int { return a.weight }

// Labels returns the labels.
func (a Account) Labels() Labels { return a.labels }
