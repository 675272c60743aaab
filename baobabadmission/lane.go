package baobabadmission

import "container/list"

// laneKind is a part of a rank that is served before the next part.
type laneKind int

// Lanes of a rank, in the order in which they are served.
const (
	// laneNested holds nested calls. A call that waits for them holds a slot elsewhere, so they finish work in progress.
	laneNested laneKind = iota
	// laneOnTime holds calls that can meet their objective, and all calls while objectives do not matter.
	laneOnTime
	// laneLate holds calls that cannot meet their objective any more.
	laneLate
	laneCount
)

// A lane serves its callers round robin.
type lane struct {
	callers    map[string]*callerQueue // Only callers with entries.
	roundRobin *list.List              // Of *callerQueue; the front is served next.
	length     int
}

func newLane() *lane { return &lane{callers: map[string]*callerQueue{}, roundRobin: list.New()} }

// push appends the entry to the queue of its caller. A caller without entries joins the end of the round robin.
func (l *lane) push(e *Entry) {
	c, ok := l.callers[e.request.caller]
	if !ok {
		c = newCallerQueue(e.request.caller)
		l.callers[c.caller] = c
		c.element = l.roundRobin.PushBack(c)
	}
	c.push(e)
	l.length++
}

// remove removes the entry.
func (l *lane) remove(e *Entry) {
	c := e.callerQueue
	c.entries.Remove(e.element)
	e.callerQueue, e.element = nil, nil
	l.length--
	if c.len() == 0 {
		l.roundRobin.Remove(c.element)
		delete(l.callers, c.caller)
	}
}

// pop removes and returns the oldest entry of the caller that is served next, and moves the caller to the end of the
// round robin. The lane must not be empty.
func (l *lane) pop() *Entry {
	c := l.roundRobin.Front().Value.(*callerQueue)
	l.roundRobin.MoveToBack(c.element)
	e := c.oldest()
	l.remove(e)
	return e
}

// callerLen returns the number of entries of the caller.
func (l *lane) callerLen(caller string) int {
	c, ok := l.callers[caller]
	if !ok {
		return 0
	}
	return c.len()
}

// largestCaller returns the caller with the most entries, or nil when the lane is empty. Among equals it is the one
// served first.
func (l *lane) largestCaller() *callerQueue {
	var largest *callerQueue
	for e := l.roundRobin.Front(); e != nil; e = e.Next() {
		c := e.Value.(*callerQueue)
		if largest == nil || c.len() > largest.len() {
			largest = c
		}
	}
	return largest
}

// entriesAhead returns how many entries of the lane are served before a new entry of the caller.
func (l *lane) entriesAhead(caller string) int {
	own := l.callerLen(caller)
	n := own
	for name, c := range l.callers {
		if name != caller {
			n += min(c.len(), own+1)
		}
	}
	return n
}

// appendEntries appends all entries in no particular order.
func (l *lane) appendEntries(all []*Entry) []*Entry {
	for e := l.roundRobin.Front(); e != nil; e = e.Next() {
		for x := e.Value.(*callerQueue).entries.Front(); x != nil; x = x.Next() {
			all = append(all, x.Value.(*Entry))
		}
	}
	return all
}
