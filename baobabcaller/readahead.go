package baobabcaller

// readAheadLimits bounds what is read ahead on one connection.
type readAheadLimits struct {
	requests int // Requests handed on and not yet taken in their turn; 0 means that nothing is read ahead.
	bytes    int // Bytes read and not yet delivered to the HTTP server.
}

// A readAhead decides which of the requests that were read behind the current one on a connection are handed on before
// their turn. It answers the load of callers that send requests without waiting for the answers before them: handed on
// one by one, each would wait for the answers before it while upstreams are free.
//
// Requests are numbered in the order in which they were sent; the current one is being served in its turn. It does no
// I/O, and it is not safe for concurrent use.
type readAhead struct {
	limits  readAheadLimits
	current int         // Number of the request that is served in its turn; 0 before the first one.
	passing bool        // The current request may run again, so that requests behind it may be handed on.
	next    int         // Number of the first request that has not been handed on.
	queue   []aheadItem // Handed on and not yet taken, in order.
	closed  bool        // Nothing is handed on any more.
}

// aheadItem is a request that was handed on before its turn.
type aheadItem interface {
	// Number returns the number of the request on its connection.
	Number() int
	// Cancel ends the request early, because nobody takes its answer any more.
	Cancel()
}

func newReadAhead(limits readAheadLimits) *readAhead { return &readAhead{limits: limits, next: 1} }

// begin makes the next request the current one. It returns the item of that request if it was handed on, else nil.
func (a *readAhead) begin() aheadItem {
	a.current++
	a.passing = false
	a.next = max(a.next, a.current+1)
	if len(a.queue) == 0 || a.queue[0].Number() != a.current {
		return nil
	}
	item := a.queue[0]
	a.queue[0] = nil
	a.queue = a.queue[1:]
	a.passing = true // Only requests that may run again are handed on.
	return item
}

// pass records that the current request may run again.
func (a *readAhead) pass() { a.passing = true }

// aheadVerdict says what happens to a request that was read behind the current one.
type aheadVerdict int

const (
	aheadHandOn aheadVerdict = iota // It is handed on now.
	aheadHanded                     // It was handed on before.
	aheadWait                       // It and all behind it wait for their turn or for room.
	aheadFull                       // As aheadWait, because the limit of requests is reached.
)

// decide returns the verdict on the request with a number. Requests must be asked for in order. A request that has a
// body or may not run again waits for its turn, and nothing behind it is handed on before it has ended.
func (a *readAhead) decide(number int, simple, mayRepeat bool) aheadVerdict {
	switch {
	case number < a.next:
		return aheadHanded
	case a.closed || !a.passing || !simple || !mayRepeat || a.limits.requests <= 0:
		return aheadWait
	case len(a.queue) >= a.limits.requests:
		return aheadFull
	default:
		return aheadHandOn
	}
}

// handOn records that the request of an item was handed on.
func (a *readAhead) handOn(item aheadItem) {
	a.queue = append(a.queue, item)
	a.next = item.Number() + 1
}

// waiting returns the number of requests that were handed on and wait for their turn.
func (a *readAhead) waiting() int { return len(a.queue) }

// close cancels all requests that were handed on, and returns how many. Nothing is handed on afterwards.
func (a *readAhead) close() int {
	n := len(a.queue)
	for _, item := range a.queue {
		item.Cancel()
	}
	a.queue, a.closed = nil, true
	return n
}
