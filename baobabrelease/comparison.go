package baobabrelease

import configuration "github.com/baobabdale/baobabdale/baobabconfiguration"

// A Comparison is what an operator sees before an accept.
type Comparison struct {
	head      Head
	candidate *configuration.Document
	changes   []configuration.Change
	problems  []configuration.Problem
}

// Head returns the version in effect.
func (c Comparison) Head() Head { return c.head }

// Candidate returns the document that an accept would put into effect.
func (c Comparison) Candidate() *configuration.Document { return c.candidate }

// Changes returns what the accept would change, sorted by kind and name.
func (c Comparison) Changes() []configuration.Change { return c.changes }

// Problems returns why the candidate would be rejected; it is empty for a valid one.
func (c Comparison) Problems() []configuration.Problem { return c.problems }
