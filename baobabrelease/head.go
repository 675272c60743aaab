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

// A Head identifies the newest accepted version.
type Head struct {
	version     configuration.Version
	operationID string    // Id of the accept that created the version.
	acceptedAt  time.Time // By the clock of the accepting node.
	revision    uint64    // Revision of the head row; 0 before the first accept.
}

// NewHead returns the head for a version that was not accepted through a Repository. The revision is that of the row
// that holds the version.
func NewHead(v configuration.Version, revision uint64) Head {
	return Head{version: v, revision: revision}
}

// headJSON is the encoding of the head row and of operation rows.
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
		version:     configuration.NewVersion(j.Number, j.Digest),
		operationID: j.Operation,
		acceptedAt:  j.AcceptedAt,
		revision:    r.Revision(),
	}, nil
}

func (h Head) encode() ([]byte, error) {
	return json.Marshal(headJSON{
		Number:     h.version.Number(),
		Digest:     h.version.Digest(),
		Operation:  h.operationID,
		AcceptedAt: h.acceptedAt.UTC(),
	})
}

// Version returns the newest accepted version.
func (h Head) Version() configuration.Version { return h.version }

// OperationID returns the id of the accept that created the version.
func (h Head) OperationID() string { return h.operationID }

// AcceptedAt returns when the version was accepted, by the clock of the accepting node.
func (h Head) AcceptedAt() time.Time { return h.acceptedAt }

// Revision returns the revision of the row that holds the head, or 0 before the first accept.
func (h Head) Revision() uint64 { return h.revision }
