package baobabrelease

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// A Repository stores the edits and the accepted versions of a mesh in the platform. It is safe for concurrent use by
// any number of nodes and operators.
type Repository struct {
	store       platform.Store
	retryDelays []time.Duration // Before each attempt to resolve a write whose response was lost.
	highest     func() uint64   // Highest version number that is known apart from the store.
}

// Option sets an optional property of a Repository.
type Option func(*Repository)

// WithRetryDelays sets the delays before the attempts to resolve a write whose response was lost, one attempt for each.
// The default is 20 ms, 100 ms, 500 ms.
func WithRetryDelays(delays ...time.Duration) Option {
	return func(r *Repository) { r.retryDelays = delays }
}

// WithHighestNumber sets a function that returns the highest version number known apart from the store. New versions get
// higher numbers, also after the store was restored from a copy that does not have the newest versions: nodes that have
// them in force ignore another version with a number that is not higher.
func WithHighestNumber(f func() uint64) Option { return func(r *Repository) { r.highest = f } }

// NewRepository returns the repository in the store.
func NewRepository(store platform.Store, options ...Option) *Repository {
	r := &Repository{
		store:       store,
		highest:     func() uint64 { return 0 },
		retryDelays: []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// GetEdit returns the edit, and whether it exists.
func (r *Repository) GetEdit(ctx context.Context, kind, name string) (Edit, bool, error) {
	const operation = "get edit"
	k, err := configuration.ParseKind(kind)
	if err != nil {
		return Edit{}, false, newError(operation, KindInvalid, err)
	}
	row, ok, err := r.store.Get(ctx, editKey(k, name))
	if err != nil {
		return Edit{}, false, newPlatformError(operation, err)
	}
	if !ok {
		return Edit{}, false, nil
	}
	e, err := editFromRow(row)
	if err != nil {
		return Edit{}, false, newError(operation, KindInvalid, err)
	}
	return e, true, nil
}

// SetEdit changes an edit if it has the expected revision, or creates it if that is 0. A conflict carries the newer
// edit. If the platform's response is lost, SetEdit succeeds if the stored edit has the wanted text afterwards.
func (r *Repository) SetEdit(ctx context.Context, kind, name string, text []byte, expected Revision) (Edit, error) {
	const operation = "set edit"
	resource, err := configuration.ParseResource(configuration.Kind(kind), name, text)
	if err != nil {
		return Edit{}, newError(operation, KindInvalid, err)
	}
	key := editKey(resource.Kind(), name)
	edit := Edit{kind: resource.Kind(), name: name, text: resource.Text()}
	tx := platform.NewTransaction().
		IfRevision(key, uint64(expected)).
		Put(key, resource.Text()).
		Put(sequenceKey, nil).
		Build()
	revision, err := r.store.Commit(ctx, tx)
	if err == nil {
		edit.revision = Revision(revision)
		return edit, nil
	}
	if platform.KindOf(err) != platform.KindUnknownOutcome {
		return Edit{}, newEditError(operation, key, err)
	}
	err = r.resolveUnknownOutcome(ctx, err, platform.NewTransaction().IfRevision(key, uint64(expected)).Build())
	if current, ok := conflictingRow(err, key); ok && bytes.Equal(current.Value(), resource.Text()) {
		// It makes no difference whether this write or an equal one by another operator stored the text.
		edit.revision = Revision(current.Revision())
		return edit, nil
	}
	return Edit{}, newEditError(operation, key, err)
}

// DeleteEdit deletes an edit if it has the expected revision. A conflict carries the newer edit. If the platform's
// response is lost, DeleteEdit succeeds if the edit does not exist afterwards. Deleting an account also sets the
// Authentication, so that its keys do not become needless with the last account.
func (r *Repository) DeleteEdit(ctx context.Context, kind, name string, expected Revision) error {
	const operation = "delete edit"
	k, err := configuration.ParseKind(kind)
	if err != nil {
		return newError(operation, KindInvalid, err)
	}
	if expected == 0 {
		return newError(operation, KindInvalid, errors.New("expected revision is 0, which denotes no existing edit"))
	}
	key := editKey(k, name)
	tx := platform.NewTransaction().IfRevision(key, uint64(expected)).Delete(key).Put(sequenceKey, nil)
	if k == configuration.KindAccount {
		a, err := configuration.NewAuthentication()
		if err != nil {
			return newError(operation, KindInvalid, err)
		}
		tx = tx.Put(editKey(a.Kind(), a.Name()), a.Text())
	}
	_, err = r.store.Commit(ctx, tx.Build())
	if err == nil {
		return nil
	}
	if platform.KindOf(err) != platform.KindUnknownOutcome {
		return newEditError(operation, key, err)
	}
	err = r.resolveUnknownOutcome(ctx, err, platform.NewTransaction().IfRevision(key, uint64(expected)).Build())
	if _, exists := conflictingRow(err, key); platform.KindOf(err) == platform.KindConflict && !exists {
		return nil
	}
	return newEditError(operation, key, err)
}

// ListEdits returns all edits, sorted by kind and name.
func (r *Repository) ListEdits(ctx context.Context) ([]Edit, error) {
	edits, _, err := r.scanEdits(ctx, "list edits")
	return edits, err
}

// Candidate returns the document that all edits form. It may be invalid.
func (r *Repository) Candidate(ctx context.Context) (*configuration.Document, error) {
	d, _, err := r.readCandidate(ctx, "candidate")
	return d, err
}

// Head returns the head, which may be stale; Confirm returns the current one. Before the first accept the head has
// version number 0 and no resources.
func (r *Repository) Head(ctx context.Context) (Head, error) {
	const operation = "read head"
	row, ok, err := r.store.Get(ctx, headKey)
	if err != nil {
		return Head{}, newPlatformError(operation, err)
	}
	if !ok {
		return Head{version: configuration.NewSnapshot(0, configuration.EmptyDocument()).Version()}, nil
	}
	h, err := headFromRow(row)
	if err != nil {
		return Head{}, newError(operation, KindInvalid, err)
	}
	return h, nil
}

// Confirm returns the current head, given one that may be stale. It writes nothing, but the platform processes it as
// a write.
func (r *Repository) Confirm(ctx context.Context, h Head) (Head, error) {
	const operation = "confirm head"
	_, err := r.store.Commit(ctx, platform.NewTransaction().IfRevision(headKey, h.revision).Build())
	if err == nil {
		return h, nil
	}
	row, ok := conflictingRow(err, headKey)
	if !ok {
		return Head{}, newPlatformError(operation, err)
	}
	current, err := headFromRow(row)
	if err != nil {
		return Head{}, newError(operation, KindInvalid, err)
	}
	return current, nil
}

// Load returns the snapshot of the head's version. Before the first accept it is empty.
func (r *Repository) Load(ctx context.Context, h Head) (*configuration.Snapshot, error) {
	const operation = "load snapshot"
	if h.version.Number() == 0 {
		return configuration.NewSnapshot(0, configuration.EmptyDocument()), nil
	}
	data, err := r.store.GetObject(ctx, snapshotObjectName(h.version.Digest()))
	if err != nil {
		return nil, newPlatformError(operation, err)
	}
	s, err := configuration.DecodeSnapshot(data, h.version.Digest())
	if err != nil {
		return nil, newError(operation, KindInvalid, err)
	}
	// The object may have been stored for an earlier version with the same content, so its number may differ.
	return configuration.NewSnapshot(h.version.Number(), s.Document()), nil
}

// Compare compares the candidate with the version of the head.
func (r *Repository) Compare(ctx context.Context) (Comparison, error) {
	h, err := r.Head(ctx)
	if err != nil {
		return Comparison{}, err
	}
	s, err := r.Load(ctx, h)
	if err != nil {
		return Comparison{}, err
	}
	d, err := r.Candidate(ctx)
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

// scanEdits returns all edits and the revision of the sequence row from one consistent read.
func (r *Repository) scanEdits(ctx context.Context, operation string) ([]Edit, uint64, error) {
	rows, err := r.store.Scan(ctx, editPrefix)
	if err != nil {
		return nil, 0, newPlatformError(operation, err)
	}
	var edits []Edit
	var sequenceRevision uint64
	for _, row := range rows {
		if row.Key() == sequenceKey {
			sequenceRevision = row.Revision()
			continue
		}
		e, err := editFromRow(row)
		if err != nil {
			return nil, 0, newError(operation, KindInvalid, err)
		}
		edits = append(edits, e)
	}
	return edits, sequenceRevision, nil
}

// readCandidate returns the candidate and the revision of the sequence row that it was read with.
func (r *Repository) readCandidate(ctx context.Context, operation string) (*configuration.Document, uint64, error) {
	edits, sequenceRevision, err := r.scanEdits(ctx, operation)
	if err != nil {
		return nil, 0, err
	}
	resources := make([]configuration.Resource, 0, len(edits))
	for _, e := range edits {
		resource, err := configuration.ParseResource(e.kind, e.name, e.text)
		if err != nil {
			return nil, 0, newError(operation, KindInvalid, err)
		}
		resources = append(resources, resource)
	}
	d, err := configuration.NewDocument(resources)
	if err != nil {
		return nil, 0, newError(operation, KindInvalid, err)
	}
	return d, sequenceRevision, nil
}

// resolveUnknownOutcome finds out whether a transaction whose response was lost took effect. The check has the
// conditions of that transaction and no writes; unlike a read it always sees the current state. A conflict means that
// the transaction was applied or never will be, because revisions never recur, and is returned. As long as all
// conditions hold, the transaction may still be in transit; after the last attempt the given error is returned.
func (r *Repository) resolveUnknownOutcome(ctx context.Context, lost error, check platform.Transaction) error {
	for _, delay := range r.retryDelays {
		select {
		case <-ctx.Done():
			return lost
		case <-time.After(delay):
		}
		_, err := r.store.Commit(ctx, check)
		if platform.KindOf(err) == platform.KindConflict {
			return err
		}
	}
	return lost
}

// conflictingRow returns the current row with the key from a conflict error, and whether it exists.
func conflictingRow(err error, key string) (platform.Row, bool) {
	var e *platform.Error
	if !errors.As(err, &e) || e.Kind() != platform.KindConflict {
		return platform.Row{}, false
	}
	return e.Row(key)
}

// newEditError returns the error for a failed change of an edit; after a conflict it carries the newer edit.
func newEditError(operation, key string, err error) error {
	e := newPlatformError(operation, err)
	if row, ok := conflictingRow(err, key); ok {
		if current, err := editFromRow(row); err == nil {
			e.currentEdit = &current
		}
	}
	return e
}
