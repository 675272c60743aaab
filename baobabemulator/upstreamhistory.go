package baobabemulator

import (
	"encoding/json"
	"os"
	"slices"
	"sync"
	"time"
)

// UpstreamResult is how a run ended.
type UpstreamResult string

// Results of runs.
const (
	UpstreamRunning   UpstreamResult = "running"
	UpstreamCompleted UpstreamResult = "completed"
	UpstreamCancelled UpstreamResult = "cancelled" // The caller was gone or the deadline over.
	UpstreamFailed    UpstreamResult = "failed"    // Answered with an error status on request.
	UpstreamTruncated UpstreamResult = "truncated" // The work was done, the answer was cut on request.
	UpstreamCrashed   UpstreamResult = "crashed"
)

// UpstreamRun records that a stand-in upstream started a call. A call that was shed has no record.
type UpstreamRun struct {
	Serial     int64          `json:"serial"`
	UpstreamID string         `json:"upstream_id"`
	CallID     string         `json:"call_id"`
	Key        string         `json:"key"`
	Caller     string         `json:"caller"`
	Rank       string         `json:"rank"`
	Retried    bool           `json:"retried"`
	Method     string         `json:"method"`
	Path       string         `json:"path"` // Path and query.
	BodyDigest string         `json:"body_digest"`
	StartNs    int64          `json:"start_ns"` // Unix time.
	EndNs      int64          `json:"end_ns"`   // Zero while it runs.
	Result     UpstreamResult `json:"result"`
}

// UpstreamHistory keeps the runs of one upstream. With a file, each start and each end is one JSON line, so that the
// history outlives a crash of the process; the later line of a serial number counts. It is safe for concurrent use.
type UpstreamHistory struct {
	mu   sync.Mutex
	runs []UpstreamRun
	file *os.File // Nil: memory only.
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

// start records the run before its work begins and returns its serial number, from 1.
func (h *UpstreamHistory) start(now time.Time, r UpstreamRun) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Serial = int64(len(h.runs)) + 1
	r.StartNs = now.UnixNano()
	r.Result = UpstreamRunning
	h.runs = append(h.runs, r)
	h.write(r)
	return r.Serial
}

func (h *UpstreamHistory) end(now time.Time, serial int64, result UpstreamResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.runs[serial-1]
	r.EndNs = now.UnixNano()
	r.Result = result
	h.write(*r)
}

func (h *UpstreamHistory) write(r UpstreamRun) {
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
