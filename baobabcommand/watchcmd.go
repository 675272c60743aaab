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
	Interval time.Duration `arg:"--interval" default:"1s" placeholder:"DURATION" help:"time between two looks"`
	Count    int           `arg:"--count" placeholder:"N" help:"end after this many looks; 0 means never"`
}

// run shows the status until ctx ends, which is the normal end of a watch.
func (c *watchCommand) run(ctx context.Context, a *app) error {
	if c.Interval <= 0 {
		return usagef("--interval is %s, want more than 0", c.Interval)
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	defer client.Close()
	shown := ""
	for look := 1; ; look++ {
		w := a.out
		text, key, err := c.look(ctx, a, client)
		if ctx.Err() != nil {
			return nil
		}
		if baobaboperator.KindOf(err) == baobaboperator.ErrorUnavailable {
			// The node may come back.
			text = fmt.Sprintf("status is not available: %v\n", err)
			key = text
			w, err = a.err, nil
		}
		if err != nil {
			return err
		}
		if key != shown {
			if _, err := fmt.Fprint(w, text); err != nil {
				return errors.Wrap(err, "write output")
			}
			shown = key
		}
		if look == c.Count || !pause(ctx, c.Interval) {
			return nil
		}
	}
}

// look returns the status as text or as one line of JSON, and a key that changes with the status but not with the
// time and the counts, which change with each call.
func (c *watchCommand) look(ctx context.Context, a *app, client *baobaboperator.Client) (text, key string, err error) {
	ctx, cancel := a.request(ctx)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return "", "", err
	}
	if a.arguments.Output == "json" {
		line, err := json.Marshal(s)
		return string(line) + "\n", watchKey(s), errors.Wrap(err, "encode status")
	}
	text = formatWatch(s)
	return text, text, nil
}

// watchKey returns what a change of the status changes.
func watchKey(s baobaboperator.Status) string {
	return fmt.Sprintf("%s %+v", formatWatch(s), s.Members)
}

// formatWatch returns one line for the mesh and one for each node that is behind.
func formatWatch(s baobaboperator.Status) string {
	have, want := s.Progress(s.Version.Number)
	if s.Version.Number == 0 {
		return fmt.Sprintf("no version is known to %s\n", s.Node)
	}
	return fmt.Sprintf("version %s in force at %d of %d nodes, %d rejections, %d draining, %d unreachable%s\n",
		s.Version, have, want, len(s.Rejections), len(s.Draining), len(s.Unreachable), formatBehind(s))
}
