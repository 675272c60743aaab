package baobabconfiguration

import (
	"bytes"
	"fmt"
)

// A Change is the addition, removal or modification of a resource between two documents.
type Change struct {
	before Resource // Nil if the resource was added.
	after  Resource // Nil if the resource was removed.
}

// Before returns the resource in the first document, or nil if it was added.
func (c Change) Before() Resource { return c.before }

// After returns the resource in the second document, or nil if it was removed.
func (c Change) After() Resource { return c.after }

// Kind returns the kind of the resource.
func (c Change) Kind() Kind { return c.resource().Kind() }

// Name returns the name of the resource.
func (c Change) Name() string { return c.resource().Name() }

func (c Change) resource() Resource {
	if c.after != nil {
		return c.after
	}
	return c.before
}

// String returns a one-line description of the change.
func (c Change) String() string {
	switch {
	case c.before == nil:
		return fmt.Sprintf("added %s %s %s", c.Kind(), c.Name(), c.after.Text())
	case c.after == nil:
		return fmt.Sprintf("removed %s %s %s", c.Kind(), c.Name(), c.before.Text())
	}
	return fmt.Sprintf("changed %s %s %s to %s", c.Kind(), c.Name(), c.before.Text(), c.after.Text())
}

// Diff returns the changes that turn one document into another, sorted by kind and name.
func Diff(from, to *Document) []Change {
	var changes []Change
	a, b := from.resources, to.resources
	for len(a) > 0 || len(b) > 0 {
		var order int
		switch {
		case len(a) == 0:
			order = 1
		case len(b) == 0:
			order = -1
		default:
			order = compareResources(a[0], b[0])
		}
		switch {
		case order < 0:
			changes = append(changes, Change{before: a[0]})
			a = a[1:]
		case order > 0:
			changes = append(changes, Change{after: b[0]})
			b = b[1:]
		default:
			if !bytes.Equal(a[0].Text(), b[0].Text()) {
				changes = append(changes, Change{before: a[0], after: b[0]})
			}
			a, b = a[1:], b[1:]
		}
	}
	return changes
}
