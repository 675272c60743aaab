package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file with what was sent, answered and run.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File // Guarded by mu.
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.started) }

// write adds a line to the file.
func (r *record) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}

// say adds a line to the file and prints it.
func (r *record) say(format string, arguments ...any) {
	r.write(format, arguments...)
	fmt.Printf("%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}
