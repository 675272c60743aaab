package baobabcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// labelGroup has the subcommands for labels.
type labelGroup struct {
	Delete *labelDeleteCommand `arg:"subcommand:delete" help:"delete labels of a service, upstream or account"`
	List   *labelListCommand   `arg:"subcommand:list" help:"list the labels of services, upstreams and accounts"`
	Set    *labelSetCommand    `arg:"subcommand:set" help:"set labels of a service, upstream or account"`
}

type labelSetCommand struct {
	Target string   `arg:"positional,required" help:"service/NAME, upstream/NAME or account/NAME"`
	Labels []string `arg:"positional,required" placeholder:"KEY=VALUE" help:"labels to set; other labels stay"`
	editOptions
}

func (c *labelSetCommand) run(ctx context.Context, a *app) error {
	labels, err := parseKeyValues(c.Labels)
	if err != nil {
		return err
	}
	kind, name, err := parseLabelTarget(c.Target)
	if err != nil {
		return err
	}
	return resourceEdit{
		kind: kind, name: name, expect: c.Expect, mustExist: kind != baobaboperator.KindUpstreamLabels,
		modify: func(f fields) error {
			setEntries(f.objectField("labels"), labels)
			return nil
		},
	}.run(ctx, a)
}

type labelDeleteCommand struct {
	Target string   `arg:"positional,required" help:"service/NAME, upstream/NAME or account/NAME"`
	Keys   []string `arg:"positional,required" placeholder:"KEY" help:"labels to delete"`
	editOptions
}

func (c *labelDeleteCommand) run(ctx context.Context, a *app) error {
	kind, name, err := parseLabelTarget(c.Target)
	if err != nil {
		return err
	}
	return resourceEdit{
		kind: kind, name: name, expect: c.Expect, mustExist: true,
		modify: func(f fields) error {
			labels := f.objectField("labels")
			for _, key := range c.Keys {
				delete(labels, key)
			}
			return nil
		},
	}.run(ctx, a)
}

type labelListCommand struct {
	Target string `arg:"positional" help:"service/NAME, upstream/NAME or account/NAME; without it, all are listed"`
}

// labelledTarget is the JSON output for a service or upstream and its labels.
type labelledTarget struct {
	Target   string            `json:"target"`
	Revision uint64            `json:"revision"`
	Labels   map[string]string `json:"labels"`
}

func (c *labelListCommand) run(ctx context.Context, a *app) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	resources, err := c.readTargets(ctx, client)
	if err != nil {
		return err
	}
	list := []labelledTarget{}
	rows := [][]string{{"TARGET", "REVISION", "LABELS"}}
	for _, r := range resources {
		l, err := newLabelledTarget(r)
		if err != nil {
			return err
		}
		list = append(list, l)
		rows = append(rows, []string{l.Target, fmt.Sprint(l.Revision), formatKeyValues(l.Labels)})
	}
	return a.print(list, formatTable(rows))
}

// readTargets returns the resources whose labels are listed.
func (c *labelListCommand) readTargets(ctx context.Context, client *baobaboperator.Client) ([]baobaboperator.Resource, error) {
	if c.Target != "" {
		kind, name, err := parseLabelTarget(c.Target)
		if err != nil {
			return nil, err
		}
		r, err := client.GetResource(ctx, kind, name)
		return []baobaboperator.Resource{r}, err
	}
	services, err := client.ListResources(ctx, baobaboperator.KindService)
	if err != nil {
		return nil, err
	}
	upstreams, err := client.ListResources(ctx, baobaboperator.KindUpstreamLabels)
	if err != nil {
		return nil, err
	}
	accounts, err := client.ListResources(ctx, baobaboperator.KindAccount)
	return slices.Concat(services, upstreams, accounts), err
}

func newLabelledTarget(r baobaboperator.Resource) (labelledTarget, error) {
	l := labelledTarget{Target: "service/" + r.Name, Revision: r.Revision}
	switch r.Kind {
	case baobaboperator.KindUpstreamLabels:
		l.Target = "upstream/" + r.Name
	case baobaboperator.KindAccount:
		l.Target = "account/" + r.Name
	}
	var text struct {
		Labels map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(r.Text, &text); err != nil {
		return l, fmt.Errorf("decode labels of %s: %w", l.Target, err)
	}
	l.Labels = text.Labels
	return l, nil
}

// parseLabelTarget parses service/NAME, upstream/NAME or account/NAME.
func parseLabelTarget(target string) (baobaboperator.Kind, string, error) {
	kind, name, _ := strings.Cut(target, "/")
	if name != "" && kind == "service" {
		return baobaboperator.KindService, name, nil
	}
	if name != "" && kind == "upstream" {
		return baobaboperator.KindUpstreamLabels, name, nil
	}
	if name != "" && kind == "account" {
		return baobaboperator.KindAccount, name, nil
	}
	return "", "", usagef("%q is not service/NAME, upstream/NAME or account/NAME", target)
}

func formatKeyValues(pairs map[string]string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(pairs)) {
		parts = append(parts, key+"="+pairs[key])
	}
	return strings.Join(parts, " ")
}
