package baobabmembership

// ChangeKind says what happened to a record.
type ChangeKind string

// Change kinds, sorted.
const (
	// ChangeDied means that the member is dead.
	ChangeDied ChangeKind = "died"
	// ChangeForgotten means that the record of a dead or left member was dropped.
	ChangeForgotten ChangeKind = "forgotten"
	// ChangeJoined means that a member became live that was unknown, dead or left.
	ChangeJoined ChangeKind = "joined"
	// ChangeLeft means that the member has stopped as planned.
	ChangeLeft ChangeKind = "left"
	// ChangeRefuted means that the own incarnation was raised; the own record should be broadcast.
	ChangeRefuted ChangeKind = "refuted"
	// ChangeSuspected means that the member is suspect.
	ChangeSuspected ChangeKind = "suspected"
	// ChangeUpdated means that the record of a live member has changed, for example its endpoint.
	ChangeUpdated ChangeKind = "updated"
)

// A Change is a change of the table that its user may have to act upon or to spread.
type Change struct {
	kind   ChangeKind
	member Member
}

// Kind returns what happened.
func (c Change) Kind() ChangeKind { return c.kind }

// Member returns the record after the change.
func (c Change) Member() Member { return c.member }

// changeKind classifies the replacement of a record in state before, empty when unknown.
func changeKind(before, after State) ChangeKind {
	switch {
	case after == StateDead:
		return ChangeDied
	case after == StateLeft:
		return ChangeLeft
	case !before.Live():
		return ChangeJoined
	case after == StateSuspect && before != StateSuspect:
		return ChangeSuspected
	default:
		return ChangeUpdated
	}
}
