package baobabadmission

import "container/list"

// A callerQueue holds the waiting entries of one caller in one rank, the oldest first.
type callerQueue struct {
	caller  string
	entries *list.List    // Of *Entry.
	element *list.Element // Position in the rank's round robin.
}

func newCallerQueue(caller string) *callerQueue {
	return &callerQueue{caller: caller, entries: list.New()}
}

func (c *callerQueue) push(e *Entry) {
	e.callerQueue = c
	e.element = c.entries.PushBack(e)
}

func (c *callerQueue) len() int { return c.entries.Len() }

func (c *callerQueue) oldest() *Entry { return c.entries.Front().Value.(*Entry) }

func (c *callerQueue) newest() *Entry { return c.entries.Back().Value.(*Entry) }
