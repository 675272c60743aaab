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

// blockingWriter blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.out.Write(b)
}

// TestLogQueueNeverBlocks guards against a slow reader of the log that blocks the node, and against dropped lines that
// are not reported.
func TestLogQueueNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	q := NewLogQueue(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * logBurstLines {
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
	// The goroutine may have logged part of the number already, so both parts are added up.
	dropped := int(q.Dropped())
	_, _ = fmt.Fprintln(q, "after the end") // Must not panic.
	for _, m := range regexp.MustCompile(`dropped" count=(\d+)`).FindAllStringSubmatch(w.out.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		dropped += n
	}
	if lines > logQueueCapacity+2 || lines+dropped != 3*logBurstLines {
		t.Errorf("%d lines written, %d dropped, of %d", lines, dropped, 3*logBurstLines)
	}
	if !strings.Contains(w.out.String(), "log lines dropped") {
		t.Error("the log does not report that lines were dropped")
	}
}
