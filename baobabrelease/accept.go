package baobabrelease

import (
	"context"
	"regexp"
	"time"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// maxCandidates limits how often an accept starts again because an edit changed meanwhile. At 5,000 changes a day
// two in a row are rare.
const maxCandidates = 4

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func objectName(d configuration.Digest) string { return "snapshot/" + d.String() }

// Accept puts the candidate into effect as the next version: it moves the head from n to n+1 and records the
// result under the operation id, in one transaction, on condition that no edit has changed since the candidate
// was read. Repeating an accept with the same id returns the same result. With a wanted digest that is not zero
// the accept fails when the candidate is another one. After KindUnknownOutcome the accept must be repeated with the
// same id. After every other error this call has no effect and never will; KindCandidateChanged and KindRejected
// hold for earlier calls with the same id and wanted digest as well.
func (b *Book) Accept(
	ctx context.Context, now time.Time, operation string, want configuration.Digest,
) (*configuration.Snapshot, error) {
	if !operationPattern.MatchString(operation) {
		return nil, newError("accept", KindInvalid, errors.Errorf("operation id %.64q is malformed", operation))
	}
	for range maxCandidates {
		a := &acceptance{book: b, now: now, operation: operation, want: want}
		s, err := a.run(ctx)
		if !errors.Is(err, errEditsChanged) {
			return s, err
		}
	}
	return nil, newError("accept", KindConflict, errEditsChanged)
}

var errEditsChanged = errors.New("edits changed while the candidate was accepted")

// acceptance is one attempt to accept the candidate as it is now.
type acceptance struct {
	book      *Book
	now       time.Time
	operation string
	want      configuration.Digest // Zero if any candidate is wanted.
	sequence  uint64               // Revision of the sequence row that the candidate was read with.
	head      Head
	next      *configuration.Snapshot
}

func (a *acceptance) key() string { return operationPrefix + a.operation }

func (a *acceptance) run(ctx context.Context) (*configuration.Snapshot, error) {
	r, ok, err := a.book.store.Get(ctx, a.key())
	if err != nil {
		return nil, fromPlatform("accept", err)
	}
	if ok {
		return a.recorded(ctx, r)
	}
	if err := a.prepare(ctx); err != nil {
		return a.confirm(ctx, err)
	}
	if err := a.publish(ctx); err != nil {
		return nil, err
	}
	err = a.commit(ctx)
	if err == nil {
		return a.next, nil
	}
	if r, ok := conflictingRow(err, a.key()); ok {
		return a.recorded(ctx, r)
	}
	if platform.KindOf(err) != platform.KindConflict {
		return nil, fromPlatform("accept", err)
	}
	if r, _ := conflictingRow(err, headKey); r.Revision() != a.head.revision {
		return nil, newError("accept", KindConflict, errors.Errorf("version %d is no longer in effect", a.head.version.Number()))
	}
	return nil, errEditsChanged
}

// confirm returns a refusal of the candidate only if the refused candidate is the current one and the operation was
// not recorded. The reads that led to the refusal may have been stale.
func (a *acceptance) confirm(ctx context.Context, refusal error) (*configuration.Snapshot, error) {
	if k := KindOf(refusal); k != KindCandidateChanged && k != KindRejected {
		return nil, refusal
	}
	check := platform.NewTransaction().IfAbsent(a.key()).IfRevision(sequenceKey, a.sequence).Build()
	_, err := a.book.store.Commit(ctx, check)
	if err == nil {
		return nil, refusal
	}
	if r, ok := conflictingRow(err, a.key()); ok {
		return a.recorded(ctx, r)
	}
	if platform.KindOf(err) == platform.KindConflict {
		return nil, errEditsChanged
	}
	// The check writes nothing, so losing its answer has no effect.
	return nil, newError("accept", KindUnavailable, err)
}

// recorded returns the result that an earlier accept recorded under the same id.
func (a *acceptance) recorded(ctx context.Context, r platform.Row) (*configuration.Snapshot, error) {
	h, err := headFromRow(r)
	if err != nil {
		return nil, newError("accept", KindInvalid, err)
	}
	if !a.want.IsZero() && a.want != h.version.Digest() {
		return nil, newError("accept", KindConflict,
			errors.Errorf("operation id %s was used for version %s", a.operation, h.version))
	}
	s, err := a.book.Load(ctx, h)
	if err != nil {
		// The accept took effect, so the error must not say that it had none.
		return nil, newError("accept", KindUnknownOutcome, err)
	}
	return s, nil
}

// prepare reads the head and the candidate and validates it.
func (a *acceptance) prepare(ctx context.Context) error {
	var err error
	if a.head, err = a.book.Head(ctx); err != nil {
		return err
	}
	d, sequence, err := a.book.candidate(ctx, "accept")
	if err != nil {
		return err
	}
	a.sequence = sequence
	if !a.want.IsZero() && a.want != d.Digest() {
		return newError("accept", KindCandidateChanged, errors.Errorf("the candidate is %s, want %s", d.Digest(), a.want))
	}
	if problems := configuration.Validate(d); len(problems) > 0 {
		e := newError("accept", KindRejected, nil)
		e.problems = problems
		return e
	}
	a.next = configuration.NewSnapshot(a.head.version.Number()+1, d)
	return nil
}

// publish stores the snapshot. Storing is repeated because it changes nothing that is in effect.
func (a *acceptance) publish(ctx context.Context) error {
	data, err := a.next.Encode()
	if err != nil {
		return newError("accept", KindInvalid, err)
	}
	name := objectName(a.next.Version().Digest())
	err = a.book.store.PutObject(ctx, name, data)
	for _, pause := range a.book.pauses {
		if platform.KindOf(err) != platform.KindUnknownOutcome {
			break
		}
		select {
		case <-ctx.Done():
			return newError("accept", KindUnavailable, err)
		case <-time.After(pause):
		}
		err = a.book.store.PutObject(ctx, name, data)
	}
	switch platform.KindOf(err) {
	case "":
		return nil
	case platform.KindConflict:
		// The same content under another number or from another encoder. Its digest decides.
		_, err := a.book.Load(ctx, Head{version: a.next.Version()})
		return err
	case platform.KindUnknownOutcome:
		return newError("accept", KindUnavailable, err) // The head has not moved.
	default:
		return fromPlatform("accept", err)
	}
}

// commit moves the head and records the operation. A conflict holds the rows that decide what happened.
func (a *acceptance) commit(ctx context.Context) error {
	value, err := Head{version: a.next.Version(), operation: a.operation, acceptedAt: a.now}.value()
	if err != nil {
		return err
	}
	_, err = a.book.store.Commit(ctx, a.conditions().Put(headKey, value).Put(a.key(), value).Build())
	if platform.KindOf(err) == platform.KindUnknownOutcome {
		return a.book.resolve(ctx, err, a.conditions().Build())
	}
	return err
}

func (a *acceptance) conditions() *platform.TransactionBuilder {
	return platform.NewTransaction().
		IfAbsent(a.key()).
		IfRevision(headKey, a.head.revision).
		IfRevision(sequenceKey, a.sequence)
}
