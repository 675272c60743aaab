package baobabmembership

// A domainDigest is the sum of the hashes of a failure domain's live records.
type domainDigest struct {
	domain string
	sum    uint64
}
