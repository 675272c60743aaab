package baobabcommand

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// logQueueCapacity is the number of lines that are buffered while the reader of the log is slow.
	logQueueCapacity = 256
	// logLinesPerSecond and logBurstLines bound the log volume. A line takes about 10 us of processor time and 200 bytes,
	// so a flood of lines stays below 0.3% of a core.
	logLinesPerSecond = 200
	logBurstLines     = 400
)

// A LogQueue is a writer that never blocks: a separate goroutine writes the lines to the underlying writer. Lines
// beyond the queue's capacity or rate are dropped, and their number is logged before the next line that is written.
type LogQueue struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// NewLogQueue returns a queue that writes to w.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{
		lines: make(chan []byte, logQueueCapacity), limiter: rate.NewLimiter(logLinesPerSecond, logBurstLines),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	go q.writeLines(w)
	return q
}

// Write implements io.Writer. Each call must write one line. It never returns an error.
func (q *LogQueue) Write(line []byte) (int, error) {
	if !q.limiter.Allow() {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (q *LogQueue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Lines written after that are lost.
func (q *LogQueue) Close() {
	q.close.Do(func() { close(q.closing) })
	<-q.done
}

// writeLines writes lines to w until the queue is closed.
func (q *LogQueue) writeLines(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		case <-q.closing:
			q.flush(w)
			return
		}
	}
}

// flush writes the queued lines.
func (q *LogQueue) flush(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		default:
			return
		}
	}
}

// writeLine writes a line, preceded by one with the number of lines dropped before it, if any.
func (q *LogQueue) writeLine(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" count=%d\n", n)
	}
	_, _ = w.Write(line)
}
