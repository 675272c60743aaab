package baobabadmission

import call "github.com/baobabdale/baobabdale/baobabcall"

// A Drop is an entry that was removed from the queue without a grant.
type Drop struct {
	entry   *Entry
	refusal *call.Refusal
}

// Entry returns the dropped entry.
func (d Drop) Entry() *Entry { return d.entry }

// Refusal returns why the entry was refused.
func (d Drop) Refusal() *call.Refusal { return d.refusal }
