package baobabrelease

import configuration "github.com/baobabdale/baobabdale/baobabconfiguration"

// A Comparison shows an operator what an accept would change.
type Comparison struct {
	head      Head
	candidate *configuration.Document
	changes   []configuration.Change
	problems  []configuration.Problem
}

// Head returns the head that the candidate was compared with.
func (c Comparison) Head() Head { return c.head }

// Candidate returns the document that the next version would have.
func (c Comparison) Candidate() *configuration.Document { return c.candidate }

// Changes returns the changes from the head's version to the candidate, sorted by kind and name.
func (c Comparison) Changes() []configuration.Change { return c.changes }

// Problems returns why the candidate would be rejected; it is empty for a valid one.
func (c Comparison) Problems() []configuration.Problem { return c.problems }
