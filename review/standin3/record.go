package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A recorder writes lines with the time since the start of the case to a file. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File      // Guarded by mu.
	out  *bufio.Writer // Guarded by mu.
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// now returns the time since the start of the case.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", r.now().Seconds())
	_, _ = fmt.Fprintf(r.out, format, arguments...)
	_, _ = fmt.Fprintln(r.out)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
