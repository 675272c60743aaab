package baobabcall

// Outcome tells whether an upstream ran a call.
type Outcome string

// Outcomes, in the form sent to callers.
const (
	// OutcomeRan means that the upstream ran the call. Its answer is attached, unless a refusal says that it was too large
	// to be recorded.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no upstream started the call, and none will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the call.
	OutcomeUnknown Outcome = "unknown"
)
