package baobabcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

type diffCommand struct{}

func (*diffCommand) run(ctx context.Context, a *app) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	d, err := client.Diff(ctx)
	if err != nil {
		return err
	}
	if err := a.print(d, formatDiff(d)); err != nil {
		return err
	}
	if len(d.Problems) > 0 {
		return baobaboperator.NewError("diff", baobaboperator.ErrorRejected, "the candidate cannot be accepted",
			baobaboperator.WithProblems(d.Problems))
	}
	return nil
}

func formatDiff(d baobaboperator.Diff) string {
	var b strings.Builder
	fmt.Fprintf(&b, "in force: %s\ncandidate: %s\n", d.InForce, d.CandidateDigest)
	for _, c := range d.Changes {
		fmt.Fprintf(&b, "%s %s/%s\n", c.Action, c.Kind, c.Name)
		if len(c.Before) > 0 {
			fmt.Fprintf(&b, "  - %s\n", compactJSON(c.Before))
		}
		if len(c.After) > 0 {
			fmt.Fprintf(&b, "  + %s\n", compactJSON(c.After))
		}
	}
	if len(d.Changes) == 0 {
		b.WriteString("no changes\n")
	}
	return b.String()
}
