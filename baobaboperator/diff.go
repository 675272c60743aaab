package baobaboperator

import "encoding/json"

// Action says how a resource differs between the version in force and the candidate.
type Action string

// Actions.
const (
	ActionAdded   Action = "added"
	ActionChanged Action = "changed"
	ActionRemoved Action = "removed"
)

// A Change is one difference between the version in force and the candidate. It is a wire format.
type Change struct {
	Action Action          `json:"action"`
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"` // Absent for ActionAdded.
	After  json.RawMessage `json:"after,omitempty"`  // Absent for ActionRemoved.
}

// A Diff compares the candidate, which consists of all edits, with the version in force. It is a wire format.
type Diff struct {
	InForce         Version  `json:"in_force"`
	CandidateDigest string   `json:"candidate_digest"`
	Changes         []Change `json:"changes"`  // Sorted by kind and name.
	Problems        []string `json:"problems"` // Why the candidate cannot be accepted; sorted.
}
