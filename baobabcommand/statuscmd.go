package baobabcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

type statusCommand struct{}

func (*statusCommand) run(ctx context.Context, a *app) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return a.print(s, formatStatus(s))
}

func formatStatus(s baobaboperator.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %s, asked by %s at %s\n", s.Version, s.Node, formatTime(s.Time))
	for _, d := range s.FailureDomains {
		fmt.Fprintf(&b, "failure domain %s: %d of %d nodes at the version\n", d.Name, d.AtVersion, d.Nodes)
		for _, n := range d.Behind {
			fmt.Fprintf(&b, "  %s%s: %s\n", n.Node, formatBehindVersion(n, formatSince(n.Since)), n.Reason)
		}
	}
	for _, r := range s.Rejections {
		fmt.Fprintf(&b, "rejected: %s in %s rejected version %s at %s: %s\n", r.Node, r.FailureDomain, r.Version, formatTime(r.Time), r.Reason)
	}
	for _, m := range s.Members {
		fmt.Fprintf(&b, "members %s: %d", m.State, m.Count)
		if len(m.Members) > 0 {
			fmt.Fprintf(&b, " (%s)", strings.Join(m.Members, ", "))
		}
		b.WriteString("\n")
	}
	for _, e := range s.Draining {
		fmt.Fprintf(&b, "draining: upstream %s of %s at %s in %s\n", e.Upstream, e.Service, e.Node, e.FailureDomain)
	}
	for _, u := range s.Unreachable {
		fmt.Fprintf(&b, "unreachable: %s in %s: %s\n", u.Node, u.FailureDomain, u.Reason)
	}
	formatCounts(&b, "refusals", s.Refusals)
	formatCounts(&b, "retries", s.Retries)
	return b.String()
}

func formatCounts(b *strings.Builder, name string, counts []baobaboperator.ReasonCount) {
	for _, c := range counts {
		fmt.Fprintf(b, "%s %s: %d\n", name, c.Reason, c.Count)
	}
}

func formatSince(t *time.Time) string {
	if t == nil {
		return ""
	}
	return " since " + formatTime(*t)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
