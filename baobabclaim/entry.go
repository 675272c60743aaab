package baobabclaim

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// An entry is the decoded value of a claim row.
type entry struct {
	token         string // Fencing token in its stored form.
	requestDigest Digest
	state         state
	claimedAt     time.Time
	record        Record // Set when finished.
}

// entryJSON is the form in which an entry is stored.
type entryJSON struct {
	Attempt       string      `json:"attempt"`
	RequestDigest string      `json:"request_digest"`
	State         state       `json:"state"`
	ClaimedAtMS   int64       `json:"claimed_at_ms"`
	Status        int         `json:"status,omitempty"`
	Complete      bool        `json:"complete,omitempty"`
	Header        http.Header `json:"header,omitempty"`
	Body          []byte      `json:"body,omitempty"`
}

func (e entry) encode() ([]byte, error) {
	return json.Marshal(entryJSON{
		Attempt:       e.token,
		RequestDigest: hex.EncodeToString(e.requestDigest[:]),
		State:         e.state,
		ClaimedAtMS:   e.claimedAt.UnixMilli(),
		Status:        e.record.status,
		Complete:      e.record.complete,
		Header:        e.record.header,
		Body:          e.record.body,
	})
}

func decodeEntry(data []byte) (entry, error) {
	var j entryJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return entry{}, err
	}
	if j.State != stateRunning && j.State != stateFinished {
		return entry{}, fmt.Errorf("unknown state %q", j.State)
	}
	digest, err := hex.DecodeString(j.RequestDigest)
	if err != nil {
		return entry{}, err
	}
	if len(digest) != len(Digest{}) {
		return entry{}, fmt.Errorf("request digest has %d bytes", len(digest))
	}
	return entry{
		token:         j.Attempt,
		requestDigest: Digest(digest),
		state:         j.State,
		claimedAt:     time.UnixMilli(j.ClaimedAtMS),
		record:        Record{status: j.Status, header: j.Header, body: j.Body, complete: j.Complete},
	}, nil
}

// expired reports whether the retention time has passed.
func (e entry) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(e.claimedAt) >= retention
}
