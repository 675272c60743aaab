package baobabcommand

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.out.Write(b)
}

// TestLogQueueNeverBlocks guards against a reader of the log that stops the node, and against dropped lines that nobody
// hears of.
func TestLogQueueNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	q := NewLogQueue(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * logBurst {
			_, _ = fmt.Fprintf(q, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("a writer waits for the reader of the log")
	}
	dropped := q.Dropped()
	close(w.release)
	q.Close()
	_, _ = fmt.Fprintln(q, "after the end") // Must not panic.
	lines := strings.Count(w.out.String(), "line ")
	if lines > logQueueLines+2 || dropped < uint64(3*logBurst-logQueueLines-2) {
		t.Errorf("%d lines written, %d dropped", lines, dropped)
	}
	if !strings.Contains(w.out.String(), "log lines dropped") {
		t.Error("the log does not say that lines were dropped")
	}
}
