package baobabmembership

import (
	"cmp"
	"slices"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// A Digest summarizes the live records of a table with one 64-bit value per failure domain. It omits dead and left
// records, because tables remove them at different times.
type Digest struct {
	domains []domainDigest // Sorted by domain; no domain without live records.
}

// DigestFromWire decodes a digest.
func DigestFromWire(list []*wire.DomainDigest) Digest {
	var d Digest
	for _, w := range list {
		d.domains = append(d.domains, domainDigest{domain: w.GetFailureDomain(), sum: w.GetDigest()})
	}
	slices.SortFunc(d.domains, func(a, b domainDigest) int { return cmp.Compare(a.domain, b.domain) })
	return d
}

// Wire returns the encoded digest.
func (d Digest) Wire() []*wire.DomainDigest {
	out := make([]*wire.DomainDigest, len(d.domains))
	for i, v := range d.domains {
		out[i] = &wire.DomainDigest{FailureDomain: v.domain, Digest: v.sum}
	}
	return out
}

// Differing returns the failure domains whose records differ, sorted.
func (d Digest) Differing(other Digest) []string {
	var out []string
	a, b := d.domains, other.domains
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].domain < b[0].domain:
			out = append(out, a[0].domain)
			a = a[1:]
		case len(a) == 0 || b[0].domain < a[0].domain:
			out = append(out, b[0].domain)
			b = b[1:]
		default:
			if a[0].sum != b[0].sum {
				out = append(out, a[0].domain)
			}
			a, b = a[1:], b[1:]
		}
	}
	return out
}
