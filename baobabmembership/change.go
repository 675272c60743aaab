package baobabmembership

// ChangeKind is the kind of a change of a record.
type ChangeKind string

// Change kinds, sorted.
const (
	// ChangeDied means that the member is dead.
	ChangeDied ChangeKind = "died"
	// ChangeForgotten means that the record of a dead or left member was removed.
	ChangeForgotten ChangeKind = "forgotten"
	// ChangeJoined means that a member that was unknown, dead or left became live.
	ChangeJoined ChangeKind = "joined"
	// ChangeLeft means that the member has shut down as planned.
	ChangeLeft ChangeKind = "left"
	// ChangeRefuted means that this node raised its own incarnation; its record should be broadcast.
	ChangeRefuted ChangeKind = "refuted"
	// ChangeSuspected means that the member is suspect.
	ChangeSuspected ChangeKind = "suspected"
	// ChangeUpdated means that the record of a live member has changed, for example its endpoint.
	ChangeUpdated ChangeKind = "updated"
)

// A Change is a change of the table that the controller may have to act upon or to broadcast.
type Change struct {
	kind   ChangeKind
	member Member
}

// Kind returns the kind of the change.
func (c Change) Kind() ChangeKind { return c.kind }

// Member returns the record after the change.
func (c Change) Member() Member { return c.member }

// changeKind classifies the replacement of a record. The state before is empty for an unknown member.
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
