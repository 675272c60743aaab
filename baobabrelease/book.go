package baobabrelease

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// A Book holds the edits and the accepted versions of a mesh in the platform. It is safe for concurrent use by
// any number of nodes and operators.
type Book struct {
	store  platform.Store
	pauses []time.Duration // Before each attempt to find out what became of a write whose answer was lost.
}

// Option sets an optional property of a Book.
type Option func(*Book)

// WithPauses sets the pauses before each attempt to find out what became of a write whose answer was lost. The
// default is 20 ms, 100 ms, 500 ms.
func WithPauses(pauses ...time.Duration) Option { return func(b *Book) { b.pauses = pauses } }

// NewBook returns the book in the store.
func NewBook(store platform.Store, options ...Option) *Book {
	b := &Book{store: store, pauses: []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}}
	for _, o := range options {
		o(b)
	}
	return b
}

// Get returns the edit, and whether it exists.
func (b *Book) Get(ctx context.Context, kind, name string) (Edit, bool, error) {
	const operation = "get edit"
	k, err := configuration.ParseKind(kind)
	if err != nil {
		return Edit{}, false, newError(operation, KindInvalid, err)
	}
	r, ok, err := b.store.Get(ctx, editKey(k, name))
	if err != nil {
		return Edit{}, false, fromPlatform(operation, err)
	}
	if !ok {
		return Edit{}, false, nil
	}
	e, err := editFromRow(r)
	if err != nil {
		return Edit{}, false, newError(operation, KindInvalid, err)
	}
	return e, true, nil
}

// Set changes an edit if it has the expected revision, or creates it if that is 0. A conflict carries the newer
// edit. When the answer of the platform is lost, an edit that has the wanted text afterwards counts as set.
func (b *Book) Set(ctx context.Context, kind, name string, text []byte, expect Revision) (Edit, error) {
	const operation = "set edit"
	r, err := configuration.ParseResource(configuration.Kind(kind), name, text)
	if err != nil {
		return Edit{}, newError(operation, KindInvalid, err)
	}
	key := editKey(r.Kind(), name)
	edit := Edit{kind: r.Kind(), name: name, text: r.Text()}
	tx := platform.NewTransaction().IfRevision(key, uint64(expect)).Put(key, r.Text()).Put(sequenceKey, nil).Build()
	revision, err := b.store.Commit(ctx, tx)
	if err == nil {
		edit.revision = Revision(revision)
		return edit, nil
	}
	if platform.KindOf(err) != platform.KindUnknownOutcome {
		return Edit{}, editError(operation, key, err)
	}
	err = b.resolve(ctx, err, platform.NewTransaction().IfRevision(key, uint64(expect)).Build())
	if now, ok := conflictingRow(err, key); ok && bytes.Equal(now.Value(), r.Text()) {
		// Whether this write or an equal one of another operator put it there makes no difference.
		edit.revision = Revision(now.Revision())
		return edit, nil
	}
	return Edit{}, editError(operation, key, err)
}

// Delete deletes an edit if it has the expected revision. A conflict carries the newer edit. When the answer of the
// platform is lost, an edit that does not exist afterwards counts as deleted.
func (b *Book) Delete(ctx context.Context, kind, name string, expect Revision) error {
	const operation = "delete edit"
	k, err := configuration.ParseKind(kind)
	if err != nil {
		return newError(operation, KindInvalid, err)
	}
	if expect == 0 {
		return newError(operation, KindInvalid, errors.New("the expected revision is 0, which stands for no edit"))
	}
	key := editKey(k, name)
	tx := platform.NewTransaction().IfRevision(key, uint64(expect)).Delete(key).Put(sequenceKey, nil).Build()
	_, err = b.store.Commit(ctx, tx)
	if err == nil {
		return nil
	}
	if platform.KindOf(err) != platform.KindUnknownOutcome {
		return editError(operation, key, err)
	}
	err = b.resolve(ctx, err, platform.NewTransaction().IfRevision(key, uint64(expect)).Build())
	if _, exists := conflictingRow(err, key); platform.KindOf(err) == platform.KindConflict && !exists {
		return nil
	}
	return editError(operation, key, err)
}

// List returns all edits, sorted by kind and name.
func (b *Book) List(ctx context.Context) ([]Edit, error) {
	edits, _, err := b.scan(ctx, "list edits")
	return edits, err
}

// Candidate returns the document made of all edits. It may be invalid.
func (b *Book) Candidate(ctx context.Context) (*configuration.Document, error) {
	d, _, err := b.candidate(ctx, "candidate")
	return d, err
}

// Head returns the version in effect. Before the first accept it has number 0 and no resources.
func (b *Book) Head(ctx context.Context) (Head, error) {
	const operation = "read head"
	r, ok, err := b.store.Get(ctx, headKey)
	if err != nil {
		return Head{}, fromPlatform(operation, err)
	}
	if !ok {
		return Head{version: configuration.NewSnapshot(0, configuration.EmptyDocument()).Version()}, nil
	}
	h, err := headFromRow(r)
	if err != nil {
		return Head{}, newError(operation, KindInvalid, err)
	}
	return h, nil
}

// Confirm returns the version in effect for certain, where Head may have read an older state. It writes nothing, but
// the platform serves it like a write.
func (b *Book) Confirm(ctx context.Context, h Head) (Head, error) {
	const operation = "confirm head"
	_, err := b.store.Commit(ctx, platform.NewTransaction().IfRevision(headKey, h.revision).Build())
	if err == nil {
		return h, nil
	}
	r, ok := conflictingRow(err, headKey)
	if !ok {
		return Head{}, fromPlatform(operation, err)
	}
	current, err := headFromRow(r)
	if err != nil {
		return Head{}, newError(operation, KindInvalid, err)
	}
	return current, nil
}

// Load returns the snapshot that is in effect at the head. Before the first accept it is empty.
func (b *Book) Load(ctx context.Context, h Head) (*configuration.Snapshot, error) {
	const operation = "load snapshot"
	if h.version.Number() == 0 {
		return configuration.NewSnapshot(0, configuration.EmptyDocument()), nil
	}
	data, err := b.store.GetObject(ctx, objectName(h.version.Digest()))
	if err != nil {
		return nil, fromPlatform(operation, err)
	}
	s, err := configuration.DecodeSnapshot(data, h.version.Digest())
	if err != nil {
		return nil, newError(operation, KindInvalid, err)
	}
	// An object may have been stored under another number with the same content.
	return configuration.NewSnapshot(h.version.Number(), s.Document()), nil
}

// Compare compares the candidate with the version in effect.
func (b *Book) Compare(ctx context.Context) (Comparison, error) {
	h, err := b.Head(ctx)
	if err != nil {
		return Comparison{}, err
	}
	s, err := b.Load(ctx, h)
	if err != nil {
		return Comparison{}, err
	}
	d, err := b.Candidate(ctx)
	if err != nil {
		return Comparison{}, err
	}
	return Comparison{
		head:      h,
		candidate: d,
		changes:   configuration.Diff(s.Document(), d),
		problems:  configuration.Validate(d),
	}, nil
}

// scan returns all edits and the revision of the sequence row from one consistent read.
func (b *Book) scan(ctx context.Context, operation string) ([]Edit, uint64, error) {
	rows, err := b.store.Scan(ctx, editPrefix)
	if err != nil {
		return nil, 0, fromPlatform(operation, err)
	}
	var edits []Edit
	var sequence uint64
	for _, r := range rows {
		if r.Key() == sequenceKey {
			sequence = r.Revision()
			continue
		}
		e, err := editFromRow(r)
		if err != nil {
			return nil, 0, newError(operation, KindInvalid, err)
		}
		edits = append(edits, e)
	}
	return edits, sequence, nil
}

func (b *Book) candidate(ctx context.Context, operation string) (*configuration.Document, uint64, error) {
	edits, sequence, err := b.scan(ctx, operation)
	if err != nil {
		return nil, 0, err
	}
	resources := make([]configuration.Resource, 0, len(edits))
	for _, e := range edits {
		r, err := configuration.ParseResource(e.kind, e.name, e.text)
		if err != nil {
			return nil, 0, newError(operation, KindInvalid, err)
		}
		resources = append(resources, r)
	}
	d, err := configuration.NewDocument(resources)
	if err != nil {
		return nil, 0, newError(operation, KindInvalid, err)
	}
	return d, sequence, nil
}

// resolve finds out what became of a transaction whose answer was lost. The check has the conditions of the lost
// transaction and no writes, so it sees the current state even when reads are stale. It returns the conflict once
// a condition no longer holds: then the transaction was applied or never will be, because revisions do not
// return. While all conditions hold the transaction may still be under way; if that lasts, resolve returns lost.
func (b *Book) resolve(ctx context.Context, lost error, check platform.Transaction) error {
	for _, pause := range b.pauses {
		select {
		case <-ctx.Done():
			return lost
		case <-time.After(pause):
		}
		_, err := b.store.Commit(ctx, check)
		if platform.KindOf(err) == platform.KindConflict {
			return err
		}
	}
	return lost
}

// conflictingRow returns the current row with the key from a conflict, and whether it exists.
func conflictingRow(err error, key string) (platform.Row, bool) {
	var e *platform.Error
	if !errors.As(err, &e) || e.Kind() != platform.KindConflict {
		return platform.Row{}, false
	}
	return e.Row(key)
}

// editError returns the error for a failed change of an edit, with the newer edit if it is a conflict.
func editError(operation, key string, err error) error {
	e := fromPlatform(operation, err)
	if r, ok := conflictingRow(err, key); ok {
		if current, err := editFromRow(r); err == nil {
			e.current = &current
		}
	}
	return e
}
