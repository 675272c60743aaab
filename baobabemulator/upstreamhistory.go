package baobabemulator

import (
	"encoding/json"
	"os"
	"slices"
	"sync"
	"time"
)

// An UpstreamResult is the result of a run.
type UpstreamResult string

// Results of runs.
const (
	UpstreamRunning   UpstreamResult = "running"
	UpstreamCompleted UpstreamResult = "completed"
	UpstreamCancelled UpstreamResult = "cancelled" // The client disconnected or the deadline passed.
	UpstreamFailed    UpstreamResult = "failed"    // Answered with an error status as demanded.
	UpstreamTruncated UpstreamResult = "truncated" // The call was run, but its answer was not sent completely.
	UpstreamCrashed   UpstreamResult = "crashed"
)

// An UpstreamRun records that an emulated upstream started a call. Calls that are shed have no record.
type UpstreamRun struct {
	Serial     int64          `json:"serial"`
	UpstreamID string         `json:"upstream_id"`
	CallID     string         `json:"call_id"`
	Key        string         `json:"key"`
	Caller     string         `json:"caller"`
	Rank       string         `json:"rank"`
	Account    string         `json:"account"`
	KeyShown   bool           `json:"key_shown"` // The key of the account reached the upstream.
	Retried    bool           `json:"retried"`
	Method     string         `json:"method"`
	Path       string         `json:"path"` // Path and query.
	BodyDigest string         `json:"body_digest"`
	StartNs    int64          `json:"start_ns"` // Unix time.
	EndNs      int64          `json:"end_ns"`   // Unix time; zero while the call runs.
	Result     UpstreamResult `json:"result"`
}

// An UpstreamHistory records the runs of one upstream. With a file, each start and each end of a run is appended as a
// JSON line, so that the history survives a crash of the process; the last line of a serial number is valid. It is safe
// for concurrent use.
type UpstreamHistory struct {
	mu   sync.Mutex
	runs []UpstreamRun
	file *os.File // Nil: in memory only.
}

func newUpstreamHistory(path string) (*UpstreamHistory, error) {
	if path == "" {
		return &UpstreamHistory{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &UpstreamHistory{file: f}, nil
}

// recordStart records a run before it begins and returns its serial number, counted from 1.
func (h *UpstreamHistory) recordStart(now time.Time, r UpstreamRun) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Serial = int64(len(h.runs)) + 1
	r.StartNs = now.UnixNano()
	r.Result = UpstreamRunning
	h.runs = append(h.runs, r)
	h.appendToFile(r)
	return r.Serial
}

func (h *UpstreamHistory) recordEnd(now time.Time, serial int64, result UpstreamResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.runs[serial-1]
	r.EndNs = now.UnixNano()
	r.Result = result
	h.appendToFile(*r)
}

func (h *UpstreamHistory) appendToFile(r UpstreamRun) {
	if h.file == nil {
		return
	}
	line, _ := json.Marshal(r)
	_, _ = h.file.Write(append(line, '\n'))
}

// Runs returns a copy of the runs in the order in which they started.
func (h *UpstreamHistory) Runs() []UpstreamRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.runs)
}

func (h *UpstreamHistory) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.file != nil {
		_ = h.file.Close()
		h.file = nil
	}
}
