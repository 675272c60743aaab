package baobabrelease

import (
	"context"
	"regexp"
	"time"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// maxAcceptAttempts limits how often an accept starts over because an edit changed in the meantime. At 5,000 changes
// a day two such changes in a row are rare.
const maxAcceptAttempts = 4

var operationIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func snapshotObjectName(d configuration.Digest) string { return "snapshot/" + d.String() }

// Accept makes the candidate the next version. In one transaction it moves the head to the next higher number and
// records the result under the operation id, provided that no edit has changed since the candidate was read. Accept is
// idempotent: repeating it with the same id returns the same result. If expected is not zero, Accept fails unless the
// candidate has that digest.
//
// After KindUnknownOutcome the accept must be repeated with the same id. After any other error this call had no effect
// and will have none later; KindCandidateChanged and KindRejected also rule out an effect of earlier calls with the
// same id and expected digest.
func (r *Repository) Accept(
	ctx context.Context, now time.Time, operationID string, expected configuration.Digest,
) (*configuration.Snapshot, error) {
	if !operationIDPattern.MatchString(operationID) {
		return nil, newError("accept", KindInvalid, errors.Errorf("malformed operation ID %.64q", operationID))
	}
	for range maxAcceptAttempts {
		a := &acceptAttempt{repository: r, now: now, operationID: operationID, expectedDigest: expected}
		s, err := a.run(ctx)
		if !errors.Is(err, errEditsChanged) {
			return s, err
		}
	}
	return nil, newError("accept", KindConflict, errEditsChanged)
}

var errEditsChanged = errors.New("edits changed while the candidate was being accepted")

// acceptAttempt is one attempt to accept the candidate that the current edits form.
type acceptAttempt struct {
	repository       *Repository
	now              time.Time
	operationID      string
	expectedDigest   configuration.Digest // Zero accepts any candidate.
	sequenceRevision uint64               // Revision of the sequence row when the candidate was read.
	head             Head
	next             *configuration.Snapshot
}

func (a *acceptAttempt) operationKey() string { return operationPrefix + a.operationID }

func (a *acceptAttempt) run(ctx context.Context) (*configuration.Snapshot, error) {
	row, ok, err := a.repository.store.Get(ctx, a.operationKey())
	if err != nil {
		return nil, newPlatformError("accept", err)
	}
	if ok {
		return a.recordedResult(ctx, row)
	}
	if err := a.prepare(ctx); err != nil {
		return a.confirmRejection(ctx, err)
	}
	if err := a.storeSnapshot(ctx); err != nil {
		return nil, err
	}
	err = a.commit(ctx)
	if err == nil {
		return a.next, nil
	}
	if row, ok := conflictingRow(err, a.operationKey()); ok {
		return a.recordedResult(ctx, row)
	}
	if platform.KindOf(err) != platform.KindConflict {
		return nil, newPlatformError("accept", err)
	}
	if row, _ := conflictingRow(err, headKey); row.Revision() != a.head.revision {
		return nil, newError("accept", KindConflict, errors.Errorf("version %d is no longer active", a.head.version.Number()))
	}
	return nil, errEditsChanged
}

// confirmRejection returns the rejection only if it applies to the current candidate and the operation has no recorded
// result. The reads that led to the rejection may have been stale.
func (a *acceptAttempt) confirmRejection(ctx context.Context, rejection error) (*configuration.Snapshot, error) {
	if k := KindOf(rejection); k != KindCandidateChanged && k != KindRejected {
		return nil, rejection
	}
	check := platform.NewTransaction().IfAbsent(a.operationKey()).IfRevision(sequenceKey, a.sequenceRevision).Build()
	_, err := a.repository.store.Commit(ctx, check)
	if err == nil {
		return nil, rejection
	}
	if row, ok := conflictingRow(err, a.operationKey()); ok {
		return a.recordedResult(ctx, row)
	}
	if platform.KindOf(err) == platform.KindConflict {
		return nil, errEditsChanged
	}
	// The check writes nothing, so a lost response leaves no effect behind.
	return nil, newError("accept", KindUnavailable, err)
}

// recordedResult returns the result that an earlier accept recorded under the same operation id.
func (a *acceptAttempt) recordedResult(ctx context.Context, row platform.Row) (*configuration.Snapshot, error) {
	h, err := headFromRow(row)
	if err != nil {
		return nil, newError("accept", KindInvalid, err)
	}
	if !a.expectedDigest.IsZero() && a.expectedDigest != h.version.Digest() {
		return nil, newError("accept", KindConflict,
			errors.Errorf("operation ID %s was already used for version %s", a.operationID, h.version))
	}
	s, err := a.repository.Load(ctx, h)
	if err != nil {
		// The accept took effect, so the error must not claim that it had none.
		return nil, newError("accept", KindUnknownOutcome, err)
	}
	return s, nil
}

// prepare reads the head and the candidate, validates the candidate and builds the next snapshot.
func (a *acceptAttempt) prepare(ctx context.Context) error {
	var err error
	if a.head, err = a.repository.Head(ctx); err != nil {
		return err
	}
	d, sequenceRevision, err := a.repository.readCandidate(ctx, "accept")
	if err != nil {
		return err
	}
	a.sequenceRevision = sequenceRevision
	if !a.expectedDigest.IsZero() && a.expectedDigest != d.Digest() {
		return newError("accept", KindCandidateChanged,
			errors.Errorf("candidate has digest %s, want %s", d.Digest(), a.expectedDigest))
	}
	if problems := configuration.Validate(d); len(problems) > 0 {
		e := newError("accept", KindRejected, nil)
		e.problems = problems
		return e
	}
	a.next = configuration.NewSnapshot(max(a.head.version.Number(), a.repository.highest())+1, d)
	return nil
}

// storeSnapshot writes the snapshot to the object store. The write is safe to retry because the head does not refer to
// it yet.
func (a *acceptAttempt) storeSnapshot(ctx context.Context) error {
	data, err := a.next.Encode()
	if err != nil {
		return newError("accept", KindInvalid, err)
	}
	name := snapshotObjectName(a.next.Version().Digest())
	err = a.repository.store.PutObject(ctx, name, data)
	for _, delay := range a.repository.retryDelays {
		if platform.KindOf(err) != platform.KindUnknownOutcome {
			break
		}
		select {
		case <-ctx.Done():
			return newError("accept", KindUnavailable, err)
		case <-time.After(delay):
		}
		err = a.repository.store.PutObject(ctx, name, data)
	}
	switch platform.KindOf(err) {
	case "":
		return nil
	case platform.KindConflict:
		// The object has the same content but another version number, or was written by another encoder. Load
		// verifies its digest.
		_, err := a.repository.Load(ctx, Head{version: a.next.Version()})
		return err
	case platform.KindUnknownOutcome:
		return newError("accept", KindUnavailable, err) // The head has not moved.
	default:
		return newPlatformError("accept", err)
	}
}

// commit moves the head and records the operation. A conflict error carries the rows that tell what happened.
func (a *acceptAttempt) commit(ctx context.Context) error {
	value, err := Head{version: a.next.Version(), operationID: a.operationID, acceptedAt: a.now}.encode()
	if err != nil {
		return err
	}
	_, err = a.repository.store.Commit(ctx, a.preconditions().Put(headKey, value).Put(a.operationKey(), value).Build())
	if platform.KindOf(err) == platform.KindUnknownOutcome {
		return a.repository.resolveUnknownOutcome(ctx, err, a.preconditions().Build())
	}
	return err
}

func (a *acceptAttempt) preconditions() *platform.TransactionBuilder {
	return platform.NewTransaction().
		IfAbsent(a.operationKey()).
		IfRevision(headKey, a.head.revision).
		IfRevision(sequenceKey, a.sequenceRevision)
}
