package baobabclaim

// An outcome is the result of a pending write.
type outcome int

const (
	outcomeCommitted outcome = iota
	outcomeConflict
	outcomeNotApplied
	outcomeUnknown
)
