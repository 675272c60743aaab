package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record writes what was sent, answered and run to a file, with the time since its start. It is safe for concurrent
// use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File // Guarded by mu.
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// write adds a line.
func (r *record) write(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), text)
}

// say adds a line and prints it.
func (r *record) say(format string, arguments ...any) {
	r.write(format, arguments...)
	fmt.Printf("%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
