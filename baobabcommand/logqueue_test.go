package baobabcommand

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
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
			_, _ = fmt.Fprintf(q, "msg=line number=%d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("a writer waits for the reader of the log")
	}
	close(w.release)
	q.Close()
	lines := strings.Count(w.out.String(), "msg=line")
	// The writing goroutine may say at any time how many lines were dropped, so what it has said counts too.
	dropped := int(q.Dropped())
	_, _ = fmt.Fprintln(q, "after the end") // Must not panic.
	for _, m := range regexp.MustCompile(`dropped" count=(\d+)`).FindAllStringSubmatch(w.out.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		dropped += n
	}
	if lines > logQueueLines+2 || lines+dropped != 3*logBurst {
		t.Errorf("%d lines written, %d dropped, of %d", lines, dropped, 3*logBurst)
	}
	if !strings.Contains(w.out.String(), "log lines dropped") {
		t.Error("the log does not say that lines were dropped")
	}
}
