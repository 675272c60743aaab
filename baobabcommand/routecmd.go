package baobabcommand

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// routeGroup has the subcommands for routes.
type routeGroup struct {
	Delete *routeDeleteCommand `arg:"subcommand:delete" help:"delete a route"`
	List   *routeListCommand   `arg:"subcommand:list" help:"list all routes"`
	Set    *routeSetCommand    `arg:"subcommand:set" help:"create or change a route"`
	Show   *routeShowCommand   `arg:"subcommand:show" help:"show a route"`
}

type routeDeleteCommand struct{ deleteOptions }

func (c *routeDeleteCommand) run(ctx context.Context, a *app) error {
	return c.deleteResource(ctx, a, baobaboperator.KindRoute)
}

type routeListCommand struct{}

func (*routeListCommand) run(ctx context.Context, a *app) error {
	return a.listResources(ctx, baobaboperator.KindRoute)
}

type routeShowCommand struct{ showOptions }

func (c *routeShowCommand) run(ctx context.Context, a *app) error {
	return c.showResource(ctx, a, baobaboperator.KindRoute)
}

type routeSetCommand struct {
	Name                  string         `arg:"positional,required" help:"name of the route"`
	Host                  *string        `arg:"--host" placeholder:"HOST" help:"HTTP host; empty matches all"`
	PathPrefix            *string        `arg:"--path-prefix" placeholder:"PATH" help:"start of the path, in whole segments"`
	Methods               []string       `arg:"--method,separate" placeholder:"METHOD" help:"HTTP method; repeat it for more; replaces all earlier ones"`
	Service               *string        `arg:"--service" placeholder:"NAME" help:"service that gets the calls"`
	Policy                *string        `arg:"--policy" placeholder:"NAME" help:"policy of the calls"`
	Rank                  *string        `arg:"--rank" placeholder:"NAME" help:"rank of the calls within the policy"`
	CallTimeout           *time.Duration `arg:"--call-timeout" placeholder:"DURATION" help:"longest duration of a call"`
	Idempotent            *bool          `arg:"--idempotent" help:"calls may be run more than once; --idempotent=false for at most once"`
	RequireIdempotencyKey *bool          `arg:"--require-idempotency-key" help:"refuse calls without Idempotency-Key"`
	AllowAnonymous        *bool          `arg:"--allow-anonymous" help:"serve calls without a key while keys are required"`
	AccountRanks          []string       `arg:"--account-rank,separate" placeholder:"PRIORITY=RANK" help:"rank of calls of accounts with a priority; repeat it for more; replaces all earlier ones"`
	File                  string         `arg:"--file" placeholder:"FILE" help:"JSON text that replaces the route before the other options are set"`
	editOptions
}

func (c *routeSetCommand) run(ctx context.Context, a *app) error {
	ranks, err := parseAccountRanks(c.AccountRanks)
	if err != nil {
		return err
	}
	return resourceEdit{
		kind: baobaboperator.KindRoute, name: c.Name, expect: c.Expect, file: c.File,
		modify: func(f fields) error {
			setField(f, "host", c.Host)
			setField(f, "path_prefix", c.PathPrefix)
			setListField(f, "methods", c.Methods)
			setField(f, "service", c.Service)
			setField(f, "policy", c.Policy)
			setField(f, "rank", c.Rank)
			setDurationField(f, "timeout", c.CallTimeout)
			setField(f, "idempotent", c.Idempotent)
			setField(f, "require_idempotency_key", c.RequireIdempotencyKey)
			setField(f, "allow_anonymous", c.AllowAnonymous)
			if len(ranks) > 0 {
				f["account_ranks"] = ranks
			}
			return nil
		},
	}.run(ctx, a)
}

// parseAccountRanks parses pairs of a priority and a rank.
func parseAccountRanks(pairs []string) ([]map[string]any, error) {
	ranks, err := parseKeyValues(pairs)
	if err != nil {
		return nil, err
	}
	list := make([]map[string]any, 0, len(ranks))
	for _, text := range slices.Sorted(maps.Keys(ranks)) {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return nil, usagef("priority %q of an account rank is not a whole number", text)
		}
		list = append(list, map[string]any{"priority": priority, "rank": ranks[text]})
	}
	return list, nil
}

// setDurationField sets a field to the text form of a duration if the option is given.
func setDurationField(f fields, name string, d *time.Duration) {
	if d != nil {
		f[name] = d.String()
	}
}
