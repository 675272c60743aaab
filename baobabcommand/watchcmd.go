package baobabcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

type watchCommand struct {
	Interval time.Duration `arg:"--interval" default:"1s" placeholder:"DURATION" help:"time between two status requests"`
	Count    int           `arg:"--count" placeholder:"N" help:"end after this many status requests; 0 means never"`
}

// run prints the status whenever it changes, until ctx ends, which is not an error.
func (c *watchCommand) run(ctx context.Context, a *app) error {
	if c.Interval <= 0 {
		return usagef("--interval is %s, want more than 0", c.Interval)
	}
	client, err := a.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	lastKey := ""
	for requests := 1; ; requests++ {
		w := a.out
		text, key, err := c.fetchStatus(ctx, a, client)
		if ctx.Err() != nil {
			return nil
		}
		if baobaboperator.ErrorKindOf(err) == baobaboperator.ErrorUnavailable {
			// The node may become available again.
			text = fmt.Sprintf("status is not available: %v\n", err)
			key = text
			w, err = a.err, nil
		}
		if err != nil {
			return err
		}
		if key != lastKey {
			if _, err := fmt.Fprint(w, text); err != nil {
				return errors.Wrap(err, "write output")
			}
			lastKey = key
		}
		if requests == c.Count || !sleepContext(ctx, c.Interval) {
			return nil
		}
	}
}

// fetchStatus returns the status as text or as one line of JSON, and a key that changes with the status. The key leaves
// out the time and the counts, which change with each call.
func (c *watchCommand) fetchStatus(ctx context.Context, a *app, client *baobaboperator.Client) (text, key string, err error) {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return "", "", err
	}
	if a.arguments.Output == "json" {
		line, err := json.Marshal(s)
		return string(line) + "\n", statusKey(s), errors.Wrap(err, "encode status")
	}
	text = formatSummary(s)
	return text, text, nil
}

// statusKey returns a string that differs when the status has changed.
func statusKey(s baobaboperator.Status) string {
	return fmt.Sprintf("%s %+v", formatSummary(s), s.Members)
}

// formatSummary returns one line for the mesh and one for each node that is behind.
func formatSummary(s baobaboperator.Status) string {
	updated, total := s.Progress(s.Version.Number)
	if s.Version.Number == 0 {
		return fmt.Sprintf("no version is known to %s\n", s.Node)
	}
	return fmt.Sprintf("version %s in force at %d of %d nodes, %d rejections, %d draining, %d unreachable%s\n",
		s.Version, updated, total, len(s.Rejections), len(s.Draining), len(s.Unreachable), formatBehind(s))
}
