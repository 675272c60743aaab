package baobabnode

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	operator "github.com/baobabdale/baobabdale/baobaboperator"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// An operatorService implements operator.Service on a node.
type operatorService struct {
	releases      *release.Repository
	configuration *configurationController
	accounts      *accountController
	status        *statusController
}

// ListResources implements operator.Service.
func (s *operatorService) ListResources(ctx context.Context, kind operator.Kind) ([]operator.Resource, error) {
	edits, err := s.releases.ListEdits(ctx)
	if err != nil {
		return nil, toOperatorError("list resources", err)
	}
	var list []operator.Resource
	for _, e := range edits {
		if kind == "" || string(e.Kind()) == string(kind) {
			list = append(list, toResource(e))
		}
	}
	slices.SortFunc(list, func(a, b operator.Resource) int {
		return strings.Compare(string(a.Kind)+"/"+a.Name, string(b.Kind)+"/"+b.Name)
	})
	return list, nil
}

// GetResource implements operator.Service.
func (s *operatorService) GetResource(ctx context.Context, kind operator.Kind, name string) (operator.Resource, error) {
	e, ok, err := s.releases.GetEdit(ctx, string(kind), name)
	if err != nil {
		return operator.Resource{}, toOperatorError("get resource", err)
	}
	if !ok {
		return operator.Resource{}, operator.NewError("get resource", operator.ErrorNotFound, string(kind)+" "+name+" does not exist")
	}
	return toResource(e), nil
}

// SetResource implements operator.Service.
func (s *operatorService) SetResource(ctx context.Context, _ time.Time, kind operator.Kind, name string, text []byte,
	expect uint64) (operator.Resource, error) {
	e, err := s.releases.SetEdit(ctx, string(kind), name, text, release.Revision(expect))
	if err != nil {
		return operator.Resource{}, toOperatorError("set resource", err)
	}
	return toResource(e), nil
}

// DeleteResource implements operator.Service.
func (s *operatorService) DeleteResource(ctx context.Context, _ time.Time, kind operator.Kind, name string,
	expect uint64) error {
	return toOperatorError("delete resource", s.releases.DeleteEdit(ctx, string(kind), name, release.Revision(expect)))
}

// Diff implements operator.Service.
func (s *operatorService) Diff(ctx context.Context) (operator.Diff, error) {
	c, err := s.releases.Compare(ctx)
	if err != nil {
		return operator.Diff{}, toOperatorError("diff", err)
	}
	d := operator.Diff{
		InForce:         operatorVersion(c.Head().Version()),
		CandidateDigest: c.Candidate().Digest().String(),
		Problems:        problemTexts(c.Problems()),
	}
	for _, v := range c.Changes() {
		d.Changes = append(d.Changes, toChange(v))
	}
	return d, nil
}

// Accept implements operator.Service. It returns once the version is durable and this node has started to broadcast it.
func (s *operatorService) Accept(ctx context.Context, now time.Time, operationID, expectedDigest string) (operator.Version, error) {
	var expected configuration.Digest
	if expectedDigest != "" {
		d, err := configuration.ParseDigest(expectedDigest)
		if err != nil {
			return operator.Version{}, operator.NewError("accept", operator.ErrorInvalid, err.Error())
		}
		expected = d
	}
	snapshot, err := s.releases.Accept(ctx, now, operationID, expected)
	if err != nil {
		return operator.Version{}, toOperatorError("accept", err, operator.WithOperationID(operationID))
	}
	if err := s.configuration.installAccepted(snapshot); err != nil {
		s.configuration.logger.Warn("accepted version is not in force on this node", "err", err)
	}
	return operatorVersion(snapshot.Version()), nil
}

// Status implements operator.Service.
func (s *operatorService) Status(ctx context.Context, now time.Time) (operator.Status, error) {
	nodes := s.status.allStatuses(ctx)
	reports := make([]operator.NodeReport, 0, len(nodes))
	for _, n := range nodes {
		reports = append(reports, toReport(n))
	}
	known := operatorVersion(s.status.board.ActiveVersion())
	if highest := s.status.board.HighestNumber(); highest > known.Number {
		known = operator.Version{Number: highest}
	}
	return operator.Summarize(now, s.status.members.self, known, reports), nil
}

// Node implements operator.Service.
func (s *operatorService) Node(context.Context, time.Time) (operator.NodeView, error) {
	board := s.status.board
	self := s.status.members.selfRecord()
	v := operator.NodeView{
		Node: self.ID(), FailureDomain: self.FailureDomain(), Highest: board.HighestNumber(), Members: len(s.status.members.liveMembers()),
		Routes: []operator.RouteView{}, Services: []string{}, Policies: []string{},
	}
	if r := board.Rejected(); r != nil {
		v.Rejected, v.Reason = operatorVersion(r.Version()), r.Reason()
	}
	active := board.ActiveConfiguration()
	if active == nil {
		return v, nil
	}
	v.Version = operatorVersion(active.Version())
	for _, r := range active.View().Routes() {
		v.Routes = append(v.Routes, operator.RouteView{Name: r.Name(), Service: r.Service(), Policy: r.Policy()})
	}
	for _, r := range active.View().Services() {
		v.Services = append(v.Services, r.Name())
	}
	for _, p := range active.View().Policies() {
		v.Policies = append(v.Policies, p.Name())
	}
	v.Accounts, v.Proof = len(active.View().Accounts()), s.accounts.proofView()
	return v, nil
}

func toResource(e release.Edit) operator.Resource {
	return operator.Resource{
		Kind: operator.Kind(e.Kind()), Name: e.Name(), Revision: uint64(e.Revision()), Text: json.RawMessage(e.Text()),
	}
}

func toChange(c configuration.Change) operator.Change {
	out := operator.Change{Kind: operator.Kind(c.Kind()), Name: c.Name(), Action: operator.ActionChanged}
	if c.Before() == nil {
		out.Action = operator.ActionAdded
	} else {
		out.Before = c.Before().Text()
	}
	if c.After() == nil {
		out.Action = operator.ActionRemoved
	} else {
		out.After = c.After().Text()
	}
	return out
}

func problemTexts(list []configuration.Problem) []string {
	texts := make([]string, len(list))
	for i, p := range list {
		texts[i] = p.String()
	}
	return texts
}

// toOperatorError converts an error of the release repository. It returns nil for nil.
func toOperatorError(operation string, err error, options ...operator.ErrorOption) error {
	if err == nil {
		return nil
	}
	var e *release.Error
	if !errors.As(err, &e) {
		return operator.NewError(operation, operator.ErrorInternal, err.Error(), options...)
	}
	if current, ok := e.CurrentEdit(); ok {
		options = append(options, operator.WithCurrent(toResource(current)))
	}
	if len(e.Problems()) > 0 {
		options = append(options, operator.WithProblems(problemTexts(e.Problems())))
	}
	return operator.NewError(operation, toOperatorKind(e.Kind()), e.Text(), options...)
}

func toOperatorKind(k release.Kind) operator.ErrorKind {
	switch k {
	case release.KindCandidateChanged, release.KindConflict:
		return operator.ErrorConflict
	case release.KindInvalid, release.KindRejected:
		return operator.ErrorRejected
	case release.KindNotFound:
		return operator.ErrorNotFound
	case release.KindUnavailable:
		return operator.ErrorUnavailable
	case release.KindUnknownOutcome:
		return operator.ErrorUnknownOutcome
	default:
		return operator.ErrorInternal
	}
}

func operatorVersion(v configuration.Version) operator.Version {
	if v.Number() == 0 {
		return operator.Version{}
	}
	return operator.Version{Number: v.Number(), Digest: v.Digest().String()}
}

func operatorVersionFromWire(v *wire.Version) operator.Version {
	d, err := configuration.NewDigest(v.GetDigest())
	if err != nil {
		return operator.Version{Number: v.GetNumber()}
	}
	return operator.Version{Number: v.GetNumber(), Digest: d.String()}
}
