package baobabcommand

import (
	"context"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// selectorGroup has the subcommands for selectors.
type selectorGroup struct {
	Delete *selectorDeleteCommand `arg:"subcommand:delete" help:"delete a selector"`
	List   *selectorListCommand   `arg:"subcommand:list" help:"list all selectors"`
	Set    *selectorSetCommand    `arg:"subcommand:set" help:"create or change a selector"`
	Show   *selectorShowCommand   `arg:"subcommand:show" help:"show a selector"`
}

type selectorDeleteCommand struct{ deleteOptions }

func (c *selectorDeleteCommand) run(ctx context.Context, a *app) error {
	return c.deleteResource(ctx, a, baobaboperator.KindSelector)
}

type selectorListCommand struct{}

func (*selectorListCommand) run(ctx context.Context, a *app) error {
	return a.listResources(ctx, baobaboperator.KindSelector)
}

type selectorShowCommand struct{ showOptions }

func (c *selectorShowCommand) run(ctx context.Context, a *app) error {
	return c.showResource(ctx, a, baobaboperator.KindSelector)
}

type selectorSetCommand struct {
	Name     string   `arg:"positional,required" help:"name of the selector"`
	Match    []string `arg:"--match,separate" placeholder:"KEY=VALUE" help:"label that a proxy must have; repeat it for more; replaces all earlier ones"`
	Routes   []string `arg:"--route,separate" placeholder:"NAME" help:"route that the proxies receive; repeat it for more; replaces all earlier ones"`
	Policies []string `arg:"--policy,separate" placeholder:"NAME" help:"policy that the proxies receive; repeat it for more; replaces all earlier ones"`
	File     string   `arg:"--file" placeholder:"FILE" help:"JSON text that replaces the selector before the other options are set"`
	editOptions
}

func (c *selectorSetCommand) run(ctx context.Context, a *app) error {
	match, err := parseKeyValues(c.Match)
	if err != nil {
		return err
	}
	return resourceEdit{
		kind: baobaboperator.KindSelector, name: c.Name, expect: c.Expect, file: c.File,
		modify: func(f fields) error {
			if len(match) > 0 {
				f["match"] = match
			}
			setListField(f, "policies", c.Policies)
			setListField(f, "routes", c.Routes)
			return nil
		},
	}.run(ctx, a)
}
