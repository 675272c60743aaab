package baobabconfiguration

import "fmt"

// A Problem is one reason why a document is invalid.
type Problem struct {
	kind Kind
	name string
	text string
}

// Kind returns the kind of the resource.
func (p Problem) Kind() Kind { return p.kind }

// Name returns the name of the resource.
func (p Problem) Name() string { return p.name }

// Text returns the description of the problem.
func (p Problem) Text() string { return p.text }

// String returns a one-line description with the kind and name of the resource.
func (p Problem) String() string { return fmt.Sprintf("%s %s: %s", p.kind, p.name, p.text) }
