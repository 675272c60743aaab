package baobabcommand

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// policyGroup has the subcommands for policies.
type policyGroup struct {
	Delete *policyDeleteCommand `arg:"subcommand:delete" help:"delete a policy"`
	List   *policyListCommand   `arg:"subcommand:list" help:"list all policies"`
	Set    *policySetCommand    `arg:"subcommand:set" help:"create or change a policy"`
	Show   *policyShowCommand   `arg:"subcommand:show" help:"show a policy"`
}

type policyDeleteCommand struct{ deleteOptions }

func (c *policyDeleteCommand) run(ctx context.Context, a *app) error {
	return c.deleteResource(ctx, a, baobaboperator.KindPolicy)
}

type policyListCommand struct{}

func (*policyListCommand) run(ctx context.Context, a *app) error {
	return a.listResources(ctx, baobaboperator.KindPolicy)
}

type policyShowCommand struct{ showOptions }

func (c *policyShowCommand) run(ctx context.Context, a *app) error {
	return c.showResource(ctx, a, baobaboperator.KindPolicy)
}

type policySetCommand struct {
	Name               string         `arg:"positional,required" help:"name of the policy"`
	Ranks              []string       `arg:"--rank,separate" placeholder:"FIELDS" help:"rank to add or change, such as name=urgent,priority=1,floor_percent=40,target=50ms,worth=10; repeat it for more"`
	RemovedRanks       []string       `arg:"--remove-rank,separate" placeholder:"NAME" help:"rank to remove; repeat it for more"`
	RetryBudgetPercent *int           `arg:"--retry-budget-percent" placeholder:"N" help:"retries allowed, as a share of calls"`
	MaxAttempts        *int           `arg:"--max-attempts" placeholder:"N" help:"most attempts of one call"`
	QueueLimit         *int           `arg:"--queue-limit" placeholder:"N" help:"most calls that wait at one upstream"`
	CallerFloorPercent *int           `arg:"--caller-floor-percent" placeholder:"N" help:"share of a rank that one caller keeps while others overload it"`
	QuarantineAfter    *int           `arg:"--quarantine-after" placeholder:"N" help:"crashes after which a request is quarantined"`
	QuarantineTime     *time.Duration `arg:"--quarantine-time" placeholder:"DURATION" help:"how long a request is quarantined"`
	File               string         `arg:"--file" placeholder:"FILE" help:"JSON text that replaces the policy before the other options are set"`
	editOptions
}

func (c *policySetCommand) run(ctx context.Context, a *app) error {
	return resourceEdit{
		kind: baobaboperator.KindPolicy, name: c.Name, expect: c.Expect, file: c.File,
		modify: func(f fields) error {
			if err := c.changeRanks(f); err != nil {
				return err
			}
			setField(f, "retry_budget_percent", c.RetryBudgetPercent)
			setField(f, "max_attempts", c.MaxAttempts)
			setField(f, "queue_limit", c.QueueLimit)
			setField(f, "caller_floor_percent", c.CallerFloorPercent)
			setField(f, "quarantine_after", c.QuarantineAfter)
			setDurationField(f, "quarantine_time", c.QuarantineTime)
			return nil
		},
	}.run(ctx, a)
}

// changeRanks removes, adds and changes ranks as the options say. A changed rank keeps the fields that are not given.
func (c *policySetCommand) changeRanks(f fields) error {
	if len(c.Ranks) == 0 && len(c.RemovedRanks) == 0 {
		return nil
	}
	ranks, _ := f["ranks"].([]any)
	for _, name := range c.RemovedRanks {
		i := indexOfRank(ranks, name)
		if i < 0 {
			return usagef("policy %s has no rank %s", c.Name, name)
		}
		ranks = slices.Delete(ranks, i, i+1)
	}
	for _, text := range c.Ranks {
		newFields, err := parseRank(text)
		if err != nil {
			return err
		}
		i := indexOfRank(ranks, newFields["name"])
		if i < 0 {
			ranks = append(ranks, newFields)
			continue
		}
		rank, _ := ranks[i].(map[string]any)
		for field, value := range newFields {
			rank[field] = value
		}
	}
	f["ranks"] = ranks
	return nil
}

// indexOfRank returns the index of the rank with the name, or -1.
func indexOfRank(ranks []any, name any) int {
	return slices.IndexFunc(ranks, func(r any) bool {
		m, ok := r.(map[string]any)
		return ok && m["name"] == name
	})
}

// parseRank parses the fields of a rank, which are separated by commas. The name is required.
func parseRank(text string) (map[string]any, error) {
	pairs, err := parseKeyValues(strings.Split(text, ","))
	if err != nil {
		return nil, err
	}
	rank := map[string]any{}
	for field, value := range pairs {
		switch field {
		case "name", "target":
			rank[field] = value
		case "floor_percent", "priority", "worth":
			n, err := strconv.Atoi(value)
			if err != nil {
				return nil, usagef("%s of a rank is %q, want a whole number", field, value)
			}
			rank[field] = n
		default:
			return nil, usagef("a rank has no field %q", field)
		}
	}
	if rank["name"] == nil {
		return nil, usagef("rank %q has no name", text)
	}
	return rank, nil
}
