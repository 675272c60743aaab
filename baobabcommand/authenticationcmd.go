package baobabcommand

import (
	"context"

	"github.com/baobabdale/baobabdale/baobabconfiguration"
	"github.com/baobabdale/baobabdale/baobaboperator"
)

// authenticationGroup has the subcommands for the requirement of keys.
type authenticationGroup struct {
	Require *authenticationRequireCommand `arg:"subcommand:require" help:"require keys also while there is no account"`
	Waive   *authenticationWaiveCommand   `arg:"subcommand:waive" help:"serve all calls while there is no account"`
}

type authenticationRequireCommand struct{ editOptions }

func (c *authenticationRequireCommand) run(ctx context.Context, a *app) error {
	return resourceEdit{
		kind: baobaboperator.KindAuthentication, name: baobabconfiguration.AuthenticationRequired, expect: c.Expect,
		modify: func(fields) error { return nil },
	}.run(ctx, a)
}

type authenticationWaiveCommand struct{ editOptions }

func (c *authenticationWaiveCommand) run(ctx context.Context, a *app) error {
	o := deleteOptions{Name: baobabconfiguration.AuthenticationRequired, Expect: c.Expect}
	return o.deleteResource(ctx, a, baobaboperator.KindAuthentication)
}
