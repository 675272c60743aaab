package baobabrelease

import (
	"encoding/json"
	"time"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

const (
	headKey         = "head"
	operationPrefix = "operation/"
)

// A Head says which version is in effect.
type Head struct {
	version    configuration.Version
	operation  string    // Id of the accept that led to the version.
	acceptedAt time.Time // Clock of the accepting node.
	revision   uint64    // Revision of the head row; 0 before the first accept.
}

// NewHead returns the head of a version that was not accepted through a Book, at a revision of the row that holds it.
func NewHead(v configuration.Version, revision uint64) Head {
	return Head{version: v, revision: revision}
}

// headJSON is the value of the head row and of operation rows.
type headJSON struct {
	Number     uint64               `json:"number"`
	Digest     configuration.Digest `json:"digest"`
	Operation  string               `json:"operation"`
	AcceptedAt time.Time            `json:"accepted_at"`
}

func headFromRow(r platform.Row) (Head, error) {
	var j headJSON
	if err := json.Unmarshal(r.Value(), &j); err != nil {
		return Head{}, err
	}
	return Head{
		version:    configuration.NewVersion(j.Number, j.Digest),
		operation:  j.Operation,
		acceptedAt: j.AcceptedAt,
		revision:   r.Revision(),
	}, nil
}

func (h Head) value() ([]byte, error) {
	return json.Marshal(headJSON{
		Number:     h.version.Number(),
		Digest:     h.version.Digest(),
		Operation:  h.operation,
		AcceptedAt: h.acceptedAt.UTC(),
	})
}

// Version returns the version in effect.
func (h Head) Version() configuration.Version { return h.version }

// Operation returns the id of the accept that led to the version.
func (h Head) Operation() string { return h.operation }

// AcceptedAt returns the time of the accept by the clock of the accepting node.
func (h Head) AcceptedAt() time.Time { return h.acceptedAt }

// Revision returns the revision of the row that holds the head, or 0 before the first accept.
func (h Head) Revision() uint64 { return h.revision }
