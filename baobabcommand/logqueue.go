package baobabcommand

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// logQueueLines is the number of lines that wait for a slow reader of the log.
	logQueueLines = 256
	// logLinesPerSecond and logBurst bound the volume: a line takes about 10 us of processor time and 200 bytes, so a
	// flood of them stays below 0.3% of a core.
	logLinesPerSecond = 200
	logBurst          = 400
)

// A LogQueue is a writer that never blocks: a goroutine of its own writes the lines. Lines beyond its bounds are dropped
// and counted, and the next line that is written says how many.
type LogQueue struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// NewLogQueue returns a queue in front of a writer.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{
		lines: make(chan []byte, logQueueLines), limit: rate.NewLimiter(logLinesPerSecond, logBurst),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run(w)
	return q
}

// Write implements io.Writer with one line per call.
func (q *LogQueue) Write(line []byte) (int, error) {
	if !q.limit.Allow() {
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

// Dropped returns the number of lines that were dropped since the last line that said so.
func (q *LogQueue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the lines that wait. Lines that come later are lost.
func (q *LogQueue) Close() {
	q.close.Do(func() { close(q.closing) })
	<-q.done
}

func (q *LogQueue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.put(w, line)
		case <-q.closing:
			q.flush(w)
			return
		}
	}
}

// flush writes the lines that wait.
func (q *LogQueue) flush(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.put(w, line)
		default:
			return
		}
	}
}

// put writes a line, after one that says how many were dropped before it.
func (q *LogQueue) put(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" count=%d\n", n)
	}
	_, _ = w.Write(line)
}
