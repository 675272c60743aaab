package baobabcommand

import (
	"context"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// serviceGroup has the subcommands for services.
type serviceGroup struct {
	Delete *serviceDeleteCommand `arg:"subcommand:delete" help:"delete a service"`
	List   *serviceListCommand   `arg:"subcommand:list" help:"list all services"`
	Set    *serviceSetCommand    `arg:"subcommand:set" help:"create or change a service"`
	Show   *serviceShowCommand   `arg:"subcommand:show" help:"show a service"`
}

type serviceDeleteCommand struct{ deleteOptions }

func (c *serviceDeleteCommand) run(ctx context.Context, a *app) error {
	return c.deleteResource(ctx, a, baobaboperator.KindService)
}

type serviceListCommand struct{}

func (*serviceListCommand) run(ctx context.Context, a *app) error {
	return a.listResources(ctx, baobaboperator.KindService)
}

type serviceShowCommand struct{ showOptions }

func (c *serviceShowCommand) run(ctx context.Context, a *app) error {
	return c.showResource(ctx, a, baobaboperator.KindService)
}

type serviceSetCommand struct {
	Name   string   `arg:"positional,required" help:"name of the service"`
	Labels []string `arg:"positional" placeholder:"KEY=VALUE" help:"labels to set; other labels stay"`
	File   string   `arg:"--file" placeholder:"FILE" help:"JSON text that replaces the service before the labels are set"`
	editOptions
}

func (c *serviceSetCommand) run(ctx context.Context, a *app) error {
	labels, err := parseKeyValues(c.Labels)
	if err != nil {
		return err
	}
	return resourceEdit{
		kind: baobaboperator.KindService, name: c.Name, expect: c.Expect, file: c.File,
		modify: func(f fields) error {
			setEntries(f.objectField("labels"), labels)
			return nil
		},
	}.run(ctx, a)
}

func setEntries(m map[string]any, pairs map[string]string) {
	for key, value := range pairs {
		m[key] = value
	}
}
